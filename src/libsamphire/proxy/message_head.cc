#include "proxy/message_head.h"

#include <Poco/String.h>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

namespace samphire {

namespace {

using Poco::Net::HTTPMessage;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kPadding = " \t";
// The version, a space and the three digits of the status.
constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
constexpr std::size_t kReasonAt = std::string_view("HTTP/1.1 200 ").size();

std::string_view TakeLine(std::string_view& text) {
  const auto line = text.substr(0, text.find(kLineEnd));
  text.remove_prefix(line.size() + kLineEnd.size());
  return line;
}

std::string_view Trimmed(std::string_view text) {
  const auto first = text.find_first_not_of(kPadding);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(kPadding) - first + 1);
}

// POCO's own reader decodes encoded words (RFC 2047) in values, in which a
// sender can hide a line break; skips lines without a colon; and joins folded
// ones. What it yields is not what was sent.
void AddFields(std::string_view lines, HTTPMessage& message) {
  for (auto line = TakeLine(lines); !line.empty(); line = TakeLine(lines)) {
    const auto colon = line.find(':');
    message.add(std::string(line.substr(0, colon)),
                std::string(Trimmed(line.substr(colon + 1))));
  }
}

}  // namespace

void SetFromHead(const head_text& head, Poco::Net::HTTPRequest& request) {
  std::string_view lines = head.text();
  const auto first = TakeLine(lines);
  const auto target = first.find(' ') + 1;
  const auto version = first.rfind(' ') + 1;
  request.clear();
  request.setMethod(std::string(first.substr(0, target - 1)));
  request.setURI(std::string(first.substr(target, version - 1 - target)));
  request.setVersion(std::string(first.substr(version)));
  AddFields(lines, request);
}

void SetFromHead(const head_text& head, Poco::Net::HTTPResponse& response) {
  std::string_view lines = head.text();
  const auto first = TakeLine(lines);
  const auto digits = first.substr(kStatusAt, 3);
  const int status =
      (digits[0] - '0') * 100 + (digits[1] - '0') * 10 + (digits[2] - '0');
  response.clear();
  response.setVersion(std::string(first.substr(0, kStatusAt - 1)));
  response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setReason(first.size() < kReasonAt
                         ? std::string()
                         : std::string(first.substr(kReasonAt)));
  AddFields(lines, response);
}

std::vector<std::string> ValuesOf(const Poco::Net::NameValueCollection& headers,
                                  const std::string& name) {
  std::vector<std::string> values;
  for (const auto& [field, value] : headers) {
    if (Poco::icompare(field, name) == 0)
      values.push_back(value);
  }
  return values;
}

std::vector<std::string> ConnectionOptions(
    const Poco::Net::NameValueCollection& headers) {
  std::vector<std::string> options;
  for (const auto& value : ValuesOf(headers, HTTPMessage::CONNECTION)) {
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto option = rest.substr(0, rest.find(','));
      rest.remove_prefix(std::min(option.size() + 1, rest.size()));
      options.push_back(Poco::toLower(std::string(Trimmed(option))));
    }
  }
  return options;
}

bool KeepsConnection(const HTTPMessage& message) {
  const auto options = ConnectionOptions(message);
  const auto lists = [&options](const std::string& option) {
    return std::ranges::find(options, Poco::toLower(option)) != options.end();
  };
  if (lists(HTTPMessage::CONNECTION_CLOSE))
    return false;
  return message.getVersion() != HTTPMessage::HTTP_1_0 ||
         lists(HTTPMessage::CONNECTION_KEEP_ALIVE);
}

}  // namespace samphire
