#ifndef PEER_MESSAGE_DIGEST_H_
#define PEER_MESSAGE_DIGEST_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace samphire {

// Size of an HMAC-SHA256 digest, in bytes.
inline constexpr std::size_t kDigestBytes = 32;

// Returns the HMAC-SHA256 of `message` under `key`, as kDigestBytes raw bytes.
std::string HmacSha256(std::string_view key, std::string_view message);

// Compares in a time that does not depend on the position of the first
// difference. Strings of different lengths are unequal at once.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace samphire

#endif  // PEER_MESSAGE_DIGEST_H_
