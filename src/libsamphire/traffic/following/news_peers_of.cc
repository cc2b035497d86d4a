#include "traffic/following/news_peers_of.h"

#include <cstddef>

namespace samphire {

news_peers NewsPeersOf(const entry_list& entries, const std::string& self) {
  news_peers peers;
  for (std::size_t i = 0; i < entries.names.size(); ++i) {
    if (entries.names[i] != self)
      peers.region.push_back(entries.peer_addresses[i]);
  }
  for (const auto& [region, contacts] : entries.other_regions) {
    if (!contacts.empty())
      peers.relays.push_back(contacts.front());
  }
  return peers;
}

}  // namespace samphire
