#include "proxy/head_writer.h"

#include <fmt/format.h>

#include <string_view>

#include "proxy/head_syntax.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

using Poco::Net::HTTPMessage;

error Unsendable(std::string_view what) {
  return MakeError(result_code::kUnsendableHead, std::string(what));
}

bool IsFramedOnce(const HTTPMessage& message) {
  return ValuesOf(message, HTTPMessage::CONTENT_LENGTH).size() +
             ValuesOf(message, HTTPMessage::TRANSFER_ENCODING).size() <=
         1;
}

// Whoever filled the head in: names from the store, a configuration or another
// process reach it as well as what was read from the network.
result<std::string> WithFields(std::string start_line,
                               const HTTPMessage& message) {
  if (!IsFramedOnce(message))
    return Unsendable("two headers tell the length of the body");
  auto text = std::move(start_line) + "\r\n";
  for (const auto& [name, value] : message) {
    if (!IsToken(name) || !IsFieldText(value))
      return Unsendable("a header has a name or value that can't be sent");
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text.append("\r\n");
}

}  // namespace

result<std::string> WriteHead(const Poco::Net::HTTPRequest& request) {
  auto line = fmt::format("{} {} {}", request.getMethod(), request.getURI(),
                          request.getVersion());
  if (!IsRequestLine(line))
    return Unsendable("the request line can't be sent");
  return WithFields(std::move(line), request);
}

result<std::string> WriteHead(const Poco::Net::HTTPResponse& response) {
  auto line =
      fmt::format("{} {} {}", response.getVersion(),
                  static_cast<int>(response.getStatus()), response.getReason());
  if (!IsStatusLine(line))
    return Unsendable("the status line can't be sent");
  return WithFields(std::move(line), response);
}

}  // namespace samphire
