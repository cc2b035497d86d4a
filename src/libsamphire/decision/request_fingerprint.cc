#include "decision/request_fingerprint.h"

#include <xxhash.h>

#include <array>
#include <string>

namespace samphire {

namespace {

// Puts the length before each part, so that "a" + "bc" differs from "ab" + "c".
void Append(std::string& key, std::string_view part) {
  key += std::to_string(part.size());
  key += ':';
  key += part;
}

}  // namespace

request_fingerprint FingerprintOf(std::string_view service,
                                  std::string_view request_class,
                                  std::string_view method,
                                  std::string_view path,
                                  std::uint64_t body_digest) {
  std::string key;
  for (const auto part : {service, request_class, method, path})
    Append(key, part);
  Append(key, std::to_string(body_digest));
  return XXH3_64bits(key.data(), key.size());
}

std::uint64_t DigestOfBody(std::string_view body) {
  return XXH3_64bits(body.data(), body.size());
}

}  // namespace samphire
