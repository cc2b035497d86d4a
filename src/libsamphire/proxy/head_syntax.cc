#include "proxy/head_syntax.h"

#include <algorithm>
#include <cstddef>

namespace samphire {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
// The protocol, its version and the three digits of the status.
constexpr std::size_t kStatusEnd = std::string_view("HTTP/1.1 200").size();
constexpr char kDelete = 0x7f;

bool IsDigit(char byte) {
  return byte >= '0' && byte <= '9';
}

bool IsTokenByte(char byte) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  const bool is_letter =
      (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
  return is_letter || IsDigit(byte) ||
         kMarks.find(byte) != std::string_view::npos;
}

// Bytes above 0x7f are allowed: field values may be in any encoding.
bool IsValueByte(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= ' ' && byte != kDelete);
}

bool IsStatusLine(std::string_view line) {
  constexpr std::string_view kProtocol = "HTTP/1.";
  if (line.size() < kStatusEnd || !line.starts_with(kProtocol))
    return false;
  const auto version = line[kProtocol.size()];
  const auto status = line.substr(kStatusEnd - 3, 3);
  const auto reason = line.substr(kStatusEnd);
  return IsDigit(version) && line[kProtocol.size() + 1] == ' ' &&
         status.front() >= '1' && status.front() <= '5' &&
         std::ranges::all_of(status, IsDigit) &&
         (reason.empty() || reason.front() == ' ') && IsFieldText(reason);
}

error Malformed(const char* detail) {
  return MakeError(result_code::kTargetFailed, detail);
}

}  // namespace

bool IsFieldText(std::string_view text) {
  return std::ranges::all_of(text, IsValueByte);
}

bool IsFieldLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  return std::ranges::all_of(line.substr(0, colon), IsTokenByte) &&
         IsFieldText(line.substr(colon + 1));
}

// POCO's reader skips a line without a colon and takes a folded or spoilt one
// for part of another. A head that lost its Content-Length in this way would
// let a body that breaks off pass for a whole one, so that nothing of such a
// head is relied on.
result<void> CheckResponseHead(std::string_view head) {
  bool is_first = true;
  while (!head.empty()) {
    const auto end = head.find(kLineEnd);
    if (end == std::string_view::npos)
      return Malformed("a line of the head has no end");
    const auto line = head.substr(0, end);
    head.remove_prefix(end + kLineEnd.size());
    if (line.empty() && !is_first && head.empty())
      return Success();
    if (is_first ? !IsStatusLine(line) : !IsFieldLine(line))
      return Malformed(is_first ? "malformed status line"
                                : "malformed header line");
    is_first = false;
  }
  return Malformed("the head has no blank line at its end");
}

}  // namespace samphire
