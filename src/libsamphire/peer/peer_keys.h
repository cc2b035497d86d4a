#ifndef PEER_PEER_KEYS_H_
#define PEER_PEER_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace samphire {

// The fleet's shared keys. The first signs; each of them is accepted, so that
// a new key can be spread before it is used.
class peer_keys {
 public:
  // One key a line; empty lines and lines that start with # are skipped.
  static result<peer_keys> Parse(std::string_view text);
  static result<peer_keys> Load(const std::string& path);

  // HMAC-SHA256 of `message` with the signing key, 32 bytes.
  std::string Sign(std::string_view message) const;
  // Whether `digest` is that of `message` with one of the keys.
  bool Accepts(std::string_view message, std::string_view digest) const;

 private:
  std::vector<std::string> keys_;
};

}  // namespace samphire

#endif  // PEER_PEER_KEYS_H_
