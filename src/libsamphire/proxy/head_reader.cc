#include "proxy/head_reader.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>

#include "proxy/head_syntax.h"

namespace samphire {

namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
// The protocol, a digit, a space and the three digits of the status.
constexpr std::size_t kStatusEnd = kProtocol.size() + 5;
constexpr std::size_t kSpaceAt = kProtocol.size() + 1;
constexpr std::size_t kClassAt = kSpaceAt + 1;

bool CanStandAt(std::size_t at, char byte) {
  if (at == kSpaceAt)
    return byte == ' ';
  if (at == kClassAt)
    return byte >= '1' && byte <= '5';
  return byte >= '0' && byte <= '9';
}

// Whether `text`, the beginning of a status line, can become a whole one.
// Checked as bytes arrive, so that other ones are given up at once.
bool CanBeginStatusLine(std::string_view text) {
  const auto protocol = text.substr(0, kProtocol.size());
  if (protocol != kProtocol.substr(0, protocol.size()))
    return false;
  for (auto i = kProtocol.size(); i < std::min(text.size(), kStatusEnd); ++i) {
    if (!CanStandAt(i, text[i]))
      return false;
  }
  return true;
}

bool EndsWithBlankLine(std::string_view text) {
  return text.ends_with("\r\n\r\n");
}

}  // namespace

// POCO's reader takes the end of a connection for the end of the head, so that
// an answer cut there would pass for a complete one without a body, and skips
// any number of spaces before a status line.
result<void> ReadResponseHead(std::istream& input,
                              Poco::Net::HTTPResponse& head) {
  std::string text;
  while (!EndsWithBlankLine(text)) {
    const int byte = input.get();
    if (byte == std::char_traits<char>::eof())
      return MakeError(result_code::kTargetFailed, "the head broke off");
    text.push_back(static_cast<char>(byte));
    if (text.size() <= kStatusEnd && !CanBeginStatusLine(text))
      return MakeError(result_code::kTargetFailed, "not an HTTP response");
    if (text.size() > kMaxResponseHeadBytes)
      return MakeError(result_code::kTargetFailed, "the head is too long");
  }
  BOOST_OUTCOME_TRYV(CheckResponseHead(text));
  std::istringstream whole(text);
  try {
    head.read(whole);
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kTargetFailed, e.displayText());
  }
  return Success();
}

}  // namespace samphire
