#include "platform_adapter/raw_request.h"

#include <Poco/String.h>

#include <optional>
#include <regex>

namespace samphire::platform {

namespace {

constexpr std::string_view kLineEnd = "\r\n";

const std::regex kRequestLine(
    R"(([-!#$%&'*+.^_`|~0-9A-Za-z]+) (/[!-"$-~]*) HTTP/1\.([01]))");
const std::regex kField(
    R"(([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \t]*([\t\x20-\x7e\x80-\xff]*))");
const std::regex kHost(R"([-._~!$&'()*+,;=:\[\]%0-9A-Za-z]*)");
const std::regex kLength("[0-9]{1,15}");
const std::regex kChunkHead(R"(([0-9A-Fa-f]{1,8})(;[\t\x20-\x7e\x80-\xff]*)?)");

// Removes the next line; nothing if it is not complete. Sets `spoilt` if its
// end is not a carriage return and a line feed.
std::optional<std::string> TakeLine(std::string_view& bytes, bool& spoilt) {
  const auto feed = bytes.find('\n');
  if (feed == std::string_view::npos)
    return std::nullopt;
  std::string line(bytes.substr(0, feed + 1));
  bytes.remove_prefix(feed + 1);
  if (!line.ends_with(kLineEnd)) {
    spoilt = true;
    return line;
  }
  line.resize(line.size() - kLineEnd.size());
  return line;
}

raw_reading TakeHead(std::string_view& bytes,
                     raw_request& request,
                     std::string& version) {
  bool spoilt = false;
  bool first = true;
  std::smatch match;
  if (bytes.starts_with(kLineEnd))
    bytes.remove_prefix(kLineEnd.size());
  while (true) {
    const auto line = TakeLine(bytes, spoilt);
    if (spoilt)
      return raw_reading::kMalformed;
    if (!line)
      return raw_reading::kIncomplete;
    if (line->empty() && !first)
      return raw_reading::kWhole;
    if (!std::regex_match(*line, match, first ? kRequestLine : kField))
      return raw_reading::kMalformed;
    if (first) {
      request.method = match[1];
      request.target = match[2];
      version = match[3];
    } else {
      auto value = match[2].str();
      value.erase(value.find_last_not_of(" \t") + 1);
      request.headers.emplace_back(match[1], value);
    }
    first = false;
  }
}

raw_reading TakeBytes(std::string_view& bytes,
                      std::size_t count,
                      std::string& taken) {
  if (bytes.size() < count)
    return raw_reading::kIncomplete;
  taken.append(bytes.substr(0, count));
  bytes.remove_prefix(count);
  return raw_reading::kWhole;
}

raw_reading TakeTrailer(std::string_view& bytes) {
  bool spoilt = false;
  for (auto line = TakeLine(bytes, spoilt); line;
       line = TakeLine(bytes, spoilt)) {
    if (line->empty())
      return raw_reading::kWhole;
    if (spoilt || !std::regex_match(*line, kField))
      return raw_reading::kMalformed;
  }
  return raw_reading::kIncomplete;
}

raw_reading TakeChunks(std::string_view& bytes, std::string& body) {
  std::smatch match;
  while (true) {
    bool spoilt = false;
    const auto line = TakeLine(bytes, spoilt);
    if (!line)
      return raw_reading::kIncomplete;
    if (spoilt || !std::regex_match(*line, match, kChunkHead))
      return raw_reading::kMalformed;
    const auto size = std::stoul(match[1], nullptr, 16);
    if (size == 0)
      return TakeTrailer(bytes);
    if (TakeBytes(bytes, size, body) != raw_reading::kWhole)
      return raw_reading::kIncomplete;
    std::string end;
    if (TakeBytes(bytes, kLineEnd.size(), end) != raw_reading::kWhole)
      return raw_reading::kIncomplete;
    if (end != kLineEnd)
      return raw_reading::kMalformed;
  }
}

}  // namespace

std::vector<std::string> raw_request::Values(const std::string& name) const {
  std::vector<std::string> values;
  for (const auto& [known, value] : headers) {
    if (Poco::icompare(known, name) == 0)
      values.push_back(value);
  }
  return values;
}

std::string raw_request::Value(const std::string& name) const {
  const auto values = Values(name);
  return values.empty() ? std::string() : values.front();
}

raw_reading TakeRequest(std::string_view& bytes, raw_request& request) {
  request = {};
  std::string version;
  const auto head = TakeHead(bytes, request, version);
  if (head != raw_reading::kWhole)
    return head;
  const auto hosts = request.Values("Host");
  if (hosts.size() > 1 || (hosts.empty() && version == "1") ||
      (!hosts.empty() && !std::regex_match(hosts.front(), kHost)))
    return raw_reading::kMalformed;
  const auto lengths = request.Values("Content-Length");
  const auto codings = request.Values("Transfer-Encoding");
  if (!codings.empty()) {
    const bool sound = codings.size() == 1 && lengths.empty() &&
                       version == "1" &&
                       Poco::icompare(codings.front(), "chunked") == 0;
    return sound ? TakeChunks(bytes, request.body) : raw_reading::kMalformed;
  }
  if (lengths.empty())
    return raw_reading::kWhole;
  if (lengths.size() > 1 || !std::regex_match(lengths.front(), kLength))
    return raw_reading::kMalformed;
  return TakeBytes(bytes, std::stoul(lengths.front()), request.body);
}

}  // namespace samphire::platform
