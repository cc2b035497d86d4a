#include "platform_adapter/raw_answer.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <regex>

namespace samphire::platform {

namespace {

constexpr int kAnswerSeconds = 5;

struct parsed_head {
  std::string version;
  int status = 0;
  // By name in lower case.
  std::multimap<std::string, std::string> headers;

  std::string Get(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

// Takes a head from the start of `bytes`; returns nothing if there is no sound
// one.
std::optional<parsed_head> TakeHead(std::string_view& bytes) {
  static const std::regex status_line(
      R"(HTTP/1\.([0-9]) ([1-5][0-9][0-9])( [\t\x20-\x7e\x80-\xff]*)?)");
  static const std::regex field(
      R"(([-!#$%&'*+.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*))");
  const auto end = bytes.find("\r\n\r\n");
  if (end == std::string_view::npos)
    return std::nullopt;
  std::string lines(bytes.substr(0, end + 2));
  bytes.remove_prefix(end + 4);
  parsed_head head;
  std::smatch match;
  for (bool first = true; !lines.empty(); first = false) {
    const auto line = lines.substr(0, lines.find("\r\n"));
    lines.erase(0, line.size() + 2);
    if (!std::regex_match(line, match, first ? status_line : field))
      return std::nullopt;
    if (first) {
      head.version = match[1];
      head.status = std::stoi(match[2]);
    } else {
      head.headers.emplace(Poco::toLower(match[1].str()),
                           Poco::trim(match[2].str()));
    }
  }
  return head;
}

std::optional<std::string> TakeLine(std::string_view& bytes) {
  const auto end = bytes.find("\r\n");
  if (end == std::string_view::npos)
    return std::nullopt;
  std::string line(bytes.substr(0, end));
  bytes.remove_prefix(end + 2);
  return line;
}

bool IsTrailer(const std::string& line) {
  static const std::regex field(
      R"([-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*)");
  return std::regex_match(line, field);
}

std::optional<std::string> TakeChunks(std::string_view& bytes) {
  static const std::regex chunk_head(
      R"(([0-9A-Fa-f]{1,8})(;[\t\x20-\x7e\x80-\xff]*)?)");
  std::string body;
  std::smatch match;
  while (true) {
    const auto line = TakeLine(bytes);
    if (!line || !std::regex_match(*line, match, chunk_head))
      return std::nullopt;
    const auto size = std::stoul(match[1], nullptr, 16);
    if (size == 0)
      break;
    if (bytes.size() < size + 2 || bytes.substr(size, 2) != "\r\n")
      return std::nullopt;
    body.append(bytes.substr(0, size));
    bytes.remove_prefix(size + 2);
  }
  for (auto line = TakeLine(bytes); line; line = TakeLine(bytes)) {
    if (line->empty())
      return body;
    if (!IsTrailer(*line))
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<std::string> TakeLength(std::string_view& bytes,
                                      const std::string& length) {
  const bool is_number = !length.empty() && length.size() < 10 &&
                         std::ranges::all_of(length, [](char byte) {
                           return byte >= '0' && byte <= '9';
                         });
  if (!is_number || bytes.size() < std::stoul(length))
    return std::nullopt;
  std::string body(bytes.substr(0, std::stoul(length)));
  bytes.remove_prefix(body.size());
  return body;
}

// Takes the body that follows `head`; nothing if its end is not certain.
// `closed` tells whether the connection ended in order behind the bytes.
std::optional<std::string> TakeBody(std::string_view& bytes,
                                    const parsed_head& head,
                                    bool closed) {
  const auto codings = head.headers.count("transfer-encoding");
  const auto lengths = head.headers.count("content-length");
  const auto length = head.Get("content-length");
  if (head.status == 204 && (codings > 0 || (lengths > 0 && length != "0")))
    return std::nullopt;
  if (head.status == 204 || head.status == 304)
    return "";
  if (codings > 0) {
    const bool sound =
        codings == 1 && lengths == 0 && head.version != "0" &&
        Poco::toLower(head.Get("transfer-encoding")) == "chunked";
    return sound ? TakeChunks(bytes) : std::nullopt;
  }
  if (lengths > 0)
    return lengths == 1 ? TakeLength(bytes, length) : std::nullopt;
  if (!closed)
    return std::nullopt;
  std::string body(bytes);
  bytes = {};
  return body;
}

void Send(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

// Reads until the response is whole or the connection ends.
caller_view ReadView(Poco::Net::StreamSocket& socket, bool has_body) {
  caller_view view;
  std::string received;
  std::array<char, 65'536> buffer{};
  bool closed = false;
  while (!view.whole && !closed) {
    const int got =
        socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    closed = got <= 0;
    received.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
    std::string_view rest = received;
    const auto head = TakeHead(rest);
    if (!head)
      continue;
    view.head = received.substr(0, received.find("\r\n\r\n") + 2);
    view.answer.status = head->status;
    view.answer.stamp = head->Get("server-stamp");
    const auto body = has_body ? TakeBody(rest, *head, closed)
                               : std::optional<std::string>("");
    view.whole = body.has_value();
    view.answer.body = body.value_or(std::string(rest));
    view.excess = view.whole ? rest.size() : 0;
  }
  return view;
}

}  // namespace

std::optional<raw_answer> Understand(const scripted_answer& answer,
                                     const std::string& id) {
  std::string_view bytes = answer.bytes;
  while (true) {
    const auto head = TakeHead(bytes);
    if (!head || head->status == 101)
      return std::nullopt;
    if (head->status < 200)
      continue;
    const auto body =
        TakeBody(bytes, *head, answer.end == connection_end::kClose);
    if (!body)
      return std::nullopt;
    const auto echo = head->Get("request-id");
    if (!id.empty() && head->headers.contains("request-id") && echo != id &&
        echo != scripted_target::kRequestId)
      continue;
    return raw_answer{head->status, head->Get("server-stamp"), *body};
  }
}

caller_view Ask(const std::string& address,
                const std::string& path,
                const std::string& id,
                const std::string& version,
                const std::string& method) {
  try {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(kAnswerSeconds, 0));
    Send(socket,
         fmt::format("{} {} HTTP/{}\r\nHost: h.example\r\nRequest-Id: {}\r\n"
                     "Affinity-Key: 17\r\nRequest-Deadline: 2000\r\n\r\n",
                     method, path, version, id));
    return ReadView(socket, method != "HEAD");
  } catch (const Poco::Exception&) {
    // A reset or no answer: a failure that the caller can tell.
    return {};
  }
}

}  // namespace samphire::platform
