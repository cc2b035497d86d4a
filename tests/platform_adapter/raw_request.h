#ifndef TESTS_PLATFORM_ADAPTER_RAW_REQUEST_H_
#define TESTS_PLATFORM_ADAPTER_RAW_REQUEST_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphire::platform {

// A request as its bytes say, with the coding of its body removed.
struct raw_request {
  std::string method;
  std::string target;
  // In the order in which they came.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // The values of a header, in their order.
  std::vector<std::string> Values(const std::string& name) const;
  // The first value of a header; empty if there is none.
  std::string Value(const std::string& name) const;
};

enum class raw_reading { kWhole, kIncomplete, kMalformed };

// Takes a request from the start of `bytes`, as a strict reader does (RFC
// 9112): whatever can be read in two ways is malformed. Written apart from the
// code under test.
raw_reading TakeRequest(std::string_view& bytes, raw_request& request);

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_RAW_REQUEST_H_
