#ifndef PEER_MESSAGE_DIGEST_H_
#define PEER_MESSAGE_DIGEST_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace samphire {

inline constexpr std::size_t kDigestSize = 32;

// HMAC-SHA256, as raw bytes.
std::string KeyedDigest(std::string_view key, std::string_view message);

// Compares in a time that tells nothing about where the two differ.
bool EqualInConstantTime(std::string_view left, std::string_view right);

}  // namespace samphire

#endif  // PEER_MESSAGE_DIGEST_H_
