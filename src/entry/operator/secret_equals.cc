#include "entry/operator/secret_equals.h"

namespace samphire {

// A comparison that stops at the first difference would let an attacker who can
// time many guesses recover the token byte by byte. An empty expected secret
// means that none is configured, so nothing matches.
bool SecretEquals(std::string_view expected, std::string_view given) {
  if (expected.empty())
    return false;
  volatile unsigned char difference = expected.size() == given.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    difference = static_cast<unsigned char>(
        difference | (expected[i % expected.size()] ^ given[i]));
  }
  return difference == 0;
}

}  // namespace samphire
