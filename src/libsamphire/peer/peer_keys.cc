#include "peer/peer_keys.h"

#include <fstream>
#include <sstream>

#include "peer/message_digest.h"

namespace samphire {

namespace {

// Minimum length of a key in bytes. Shorter keys can be found offline by brute
// force from one captured datagram.
constexpr std::size_t kMinKeyBytes = 32;
// Maximum number of keys: the old key, the new key and one spare. The bound
// exists because each key costs one more digest computation per forged
// datagram.
constexpr std::size_t kMaxKeys = 3;

std::string Trimmed(const std::string& line) {
  constexpr const char* kWhitespace = " \t\r";
  const auto first = line.find_first_not_of(kWhitespace);
  if (first == std::string::npos)
    return {};
  return line.substr(first, line.find_last_not_of(kWhitespace) - first + 1);
}

}  // namespace

result<peer_keys> peer_keys::Parse(std::string_view text) {
  peer_keys keys;
  std::istringstream lines{std::string(text)};
  for (std::string line; std::getline(lines, line);) {
    const auto key = Trimmed(line);
    if (key.empty() || key.front() == '#')
      continue;
    if (key.size() < kMinKeyBytes) {
      return MakeError(result_code::kValueOutOfRange,
                       "a peer key is shorter than 32 characters");
    }
    keys.keys_.push_back(key);
  }
  if (keys.keys_.empty())
    return MakeError(result_code::kFileEmpty,
                     "the key file contains no peer key");
  if (keys.keys_.size() > kMaxKeys)
    return MakeError(result_code::kValueOutOfRange, "more than 3 peer keys");
  return keys;
}

result<peer_keys> peer_keys::Load(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return MakeError(result_code::kFileUnreadable, path);
  std::ostringstream text;
  text << file.rdbuf();
  return Parse(text.str());
}

std::string peer_keys::Sign(std::string_view message) const {
  return HmacSha256(keys_.front(), message);
}

bool peer_keys::Accepts(std::string_view message,
                        std::string_view digest) const {
  bool accepted = false;
  for (const auto& key : keys_)
    accepted |= EqualInConstantTime(HmacSha256(key, message), digest);
  return accepted;
}

}  // namespace samphire
