#include "membership/region_digest.h"

namespace samphire {

std::size_t WireSize(const region_digest& digest) {
  // Length of the name, the numbers, and the number of contacts.
  constexpr std::size_t kFixed = 1 + 8 + 2 + 4 + 4 + 8 + 1;
  // Length bytes of the three strings.
  constexpr std::size_t kPerContact = 3;
  std::size_t bytes = kFixed + digest.region.size();
  for (const auto& contact : digest.contacts) {
    bytes += kPerContact + contact.name.size() + contact.caller_address.size() +
             contact.peer_address.size();
  }
  return bytes;
}

}  // namespace samphire
