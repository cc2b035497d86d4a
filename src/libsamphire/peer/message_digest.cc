#include "peer/message_digest.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace samphire {

namespace {

// POCO's HMAC engine takes the block and digest sizes from constants of its
// hash engine. POCO's SHA-2 engine, whose digest size varies, does not define
// them.
class sha256_engine : public Poco::SHA2Engine {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): names required by POCO.
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = kDigestBytes };
};

}  // namespace

std::string HmacSha256(std::string_view key, std::string_view message) {
  Poco::HMACEngine<sha256_engine> engine(key.data(), key.size());
  engine.update(message.data(), message.size());
  const auto& digest = engine.digest();
  return {digest.begin(), digest.end()};
}

// A comparison that stops at the first difference would let an attacker on the
// network find a valid digest byte by byte from the time that each rejection
// takes.
bool EqualInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size())
    return false;
  unsigned int difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned char>(right[i]);
  }
  return difference == 0;
}

}  // namespace samphire
