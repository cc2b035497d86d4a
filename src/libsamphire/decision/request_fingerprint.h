#ifndef DECISION_REQUEST_FINGERPRINT_H_
#define DECISION_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace samphire {

// A digest by which a request is known again when its caller sends it anew.
using request_fingerprint = std::uint64_t;

// `body_digest` is what DigestOfBody gave.
request_fingerprint FingerprintOf(std::string_view service,
                                  std::string_view request_class,
                                  std::string_view method,
                                  std::string_view path,
                                  std::uint64_t body_digest);

std::uint64_t DigestOfBody(std::string_view body);

}  // namespace samphire

#endif  // DECISION_REQUEST_FINGERPRINT_H_
