#ifndef PEER_PEER_KEYS_H_
#define PEER_PEER_KEYS_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace samphire {

// The secret keys shared by all entries of the fleet. The first key signs;
// every key is accepted for verification, so that a new key can be distributed
// to all entries before any of them signs with it. Immutable after construction
// and therefore usable from any thread.
class peer_keys {
 public:
  // Parses one key per line; empty lines and lines that start with # are
  // skipped. Returns kValueOutOfRange for a key that is too short or for too
  // many keys, and kFileEmpty when there is no key.
  static result<peer_keys> Parse(std::string_view text);
  // Reads and parses the file at `path`. Returns the errors of Parse, or
  // kFileUnreadable.
  static result<peer_keys> Load(const std::string& path);

  // Returns the HMAC-SHA256 of `message` under the first key, 32 raw bytes.
  std::string Sign(std::string_view message) const;
  // Returns whether `digest` is the HMAC-SHA256 of `message` under any of the
  // keys. The time does not depend on which key matches.
  bool Accepts(std::string_view message, std::string_view digest) const;

 private:
  std::vector<std::string> keys_;
};

}  // namespace samphire

#endif  // PEER_PEER_KEYS_H_
