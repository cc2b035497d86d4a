#include "entry/operator/operator_call.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <string_view>

namespace samphire {

namespace {

// Splits the path before decoding the segments, because a ledger key may
// contain an encoded slash.
std::vector<std::string> DecodedSegments(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
    const auto slash = path.find('/');
    std::string decoded;
    Poco::URI::decode(std::string(path.substr(0, slash)), decoded);
    segments.push_back(std::move(decoded));
    path.remove_prefix(slash == std::string_view::npos ? path.size() : slash);
  }
  return segments;
}

}  // namespace

result<operator_call> ParseOperatorCall(const std::string& method,
                                        const std::string& target) {
  operator_call call;
  call.method = method;
  try {
    call.segments =
        DecodedSegments(std::string_view(target).substr(0, target.find('?')));
    // A parameter given twice is refused, since it is ambiguous which value is
    // meant.
    for (const auto& [name, value] : Poco::URI(target).getQueryParameters()) {
      if (!call.parameters.emplace(name, value).second) {
        return MakeError(result_code::kMalformedRequest,
                         "parameter given twice: " + name);
      }
    }
  } catch (const Poco::Exception& exception) {
    return MakeError(result_code::kMalformedRequest, exception.message());
  }
  return call;
}

}  // namespace samphire
