#include "peer/message_digest.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace samphire {

namespace {

// POCO's HMAC takes the sizes from its engine, and its SHA-2 engine, whose
// size varies, has none.
class sha256_engine : public Poco::SHA2Engine {
 public:
  // NOLINTNEXTLINE(readability-identifier-naming): POCO's names.
  enum { BLOCK_SIZE = 64, DIGEST_SIZE = kDigestSize };
};

}  // namespace

std::string KeyedDigest(std::string_view key, std::string_view message) {
  Poco::HMACEngine<sha256_engine> engine(key.data(), key.size());
  engine.update(message.data(), message.size());
  const auto& digest = engine.digest();
  return {digest.begin(), digest.end()};
}

// A comparison that stops at the first difference lets someone on the network
// find a digest byte by byte from the time that each refusal takes.
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
