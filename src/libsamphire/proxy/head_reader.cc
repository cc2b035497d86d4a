#include "proxy/head_reader.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <string>
#include <string_view>

namespace samphire {

namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
// The protocol, a digit, a space and the three digits of the status.
constexpr std::size_t kStatusEnd = kProtocol.size() + 5;

// Whether `text`, the beginning of a status line, can become a whole one.
// Checked as bytes arrive, so that other ones are given up at once.
bool CanBeginStatusLine(std::string_view text) {
  const auto protocol = text.substr(0, kProtocol.size());
  if (protocol != kProtocol.substr(0, protocol.size()))
    return false;
  for (auto i = kProtocol.size(); i < std::min(text.size(), kStatusEnd); ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    const bool is_space = i == kProtocol.size() + 1;
    if (is_space ? byte != ' ' : std::isdigit(byte) == 0)
      return false;
  }
  return true;
}

bool EndsWithBlankLine(std::string_view text) {
  return text.ends_with("\n\r\n") || text.ends_with("\n\n");
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
  if (text.size() <= kStatusEnd)
    return MakeError(result_code::kTargetFailed, "the status line broke off");
  std::istringstream whole(text);
  try {
    head.read(whole);
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kTargetFailed, e.displayText());
  }
  return Success();
}

}  // namespace samphire
