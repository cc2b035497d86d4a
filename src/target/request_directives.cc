#include "request_directives.h"

#include <Poco/NumberParser.h>

#include <algorithm>

namespace samphire {

namespace {

// Upper bound on the response body length that a request may select.
constexpr std::uint64_t kMaxBytes = 256 << 20;

std::optional<std::uint64_t> Number(const Poco::Net::HTTPRequest& request,
                                    const std::string& header) {
  Poco::UInt64 value = 0;
  if (!Poco::NumberParser::tryParseUnsigned64(request.get(header, ""), value))
    return std::nullopt;
  return value;
}

std::optional<milliseconds> Time(const Poco::Net::HTTPRequest& request,
                                 const std::string& header) {
  const auto value = Number(request, header);
  if (!value)
    return std::nullopt;
  return milliseconds(*value);
}

}  // namespace

request_directives ReadRequestDirectives(
    const Poco::Net::HTTPRequest& request) {
  return request_directives{
      .id = request.get("Request-Id", ""),
      .key = request.get("Idempotency-Key", ""),
      .bytes = std::min(Number(request, "Target-Bytes").value_or(0), kMaxBytes),
      .truncate = Number(request, "Target-Truncate"),
      .sleep = Time(request, "Target-Sleep-Ms"),
      .deadline = Time(request, "Samphirewinch-Deadline-Ms"),
      .crash = request.get("Target-Crash", "") == "1",
      .chunked = request.get("Target-Chunked", "") == "1",
  };
}

}  // namespace samphire
