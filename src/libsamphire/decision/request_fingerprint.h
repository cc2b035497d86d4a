#ifndef DECISION_REQUEST_FINGERPRINT_H_
#define DECISION_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace samphire {

// A digest that recognises a request when its caller sends it again. Not
// cryptographic: different requests may collide.
using request_fingerprint = std::uint64_t;

// Combines the parts of a request; `body_digest` is the result of DigestOfBody.
request_fingerprint FingerprintOf(std::string_view service,
                                  std::string_view request_class,
                                  std::string_view method,
                                  std::string_view path,
                                  std::uint64_t body_digest);

// Returns the digest of a complete request body.
std::uint64_t DigestOfBody(std::string_view body);

}  // namespace samphire

#endif  // DECISION_REQUEST_FINGERPRINT_H_
