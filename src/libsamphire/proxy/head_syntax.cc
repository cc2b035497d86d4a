#include "proxy/head_syntax.h"

#include <algorithm>
#include <cstddef>

namespace samphire {

namespace {

constexpr std::string_view kProtocol = "HTTP/1.";
// Places in a status line: the space before the status, the first digit of the
// status, and the end of the status.
constexpr std::size_t kSpaceAt = kProtocol.size() + 1;
constexpr std::size_t kClassAt = kSpaceAt + 1;
constexpr std::size_t kStatusEnd = kClassAt + 3;
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

bool IsValueByte(char byte) {
  const auto code = static_cast<unsigned char>(byte);
  return byte == '\t' || (code >= ' ' && byte != kDelete);
}

// The fragment, behind '#', is never sent; who gets one may cut it off.
bool IsTargetByte(char byte) {
  return byte > ' ' && byte < kDelete && byte != '#';
}

bool CanStandInStatusLine(std::size_t at, char byte) {
  if (at < kProtocol.size())
    return byte == kProtocol[at];
  if (at == kSpaceAt)
    return byte == ' ';
  if (at == kClassAt)
    return byte >= '1' && byte <= '5';
  return IsDigit(byte);
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenByte);
}

bool IsFieldText(std::string_view text) {
  return std::ranges::all_of(text, IsValueByte);
}

bool IsFieldLine(std::string_view line) {
  const auto colon = line.find(':');
  return colon != std::string_view::npos && IsToken(line.substr(0, colon)) &&
         IsFieldText(line.substr(colon + 1));
}

bool IsRequestTarget(std::string_view target) {
  return target == "*" ||
         (target.starts_with('/') && std::ranges::all_of(target, IsTargetByte));
}

// What follows a CONNECT is no message for whoever opens a tunnel.
bool IsRequestLine(std::string_view line) {
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last)
    return false;
  const auto method = line.substr(0, first);
  const auto target = line.substr(first + 1, last - first - 1);
  const auto version = line.substr(last + 1);
  return IsToken(method) && method != "CONNECT" && IsRequestTarget(target) &&
         (target != "*" || method == "OPTIONS") &&
         (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool IsStatusLine(std::string_view line) {
  if (line.size() < kStatusEnd || !CanBeginStatusLine(line))
    return false;
  const auto reason = line.substr(kStatusEnd);
  return reason.empty() || (reason.front() == ' ' && IsFieldText(reason));
}

bool CanBeginStatusLine(std::string_view text) {
  for (std::size_t at = 0; at < std::min(text.size(), kStatusEnd); ++at) {
    if (!CanStandInStatusLine(at, text[at]))
      return false;
  }
  return true;
}

}  // namespace samphire
