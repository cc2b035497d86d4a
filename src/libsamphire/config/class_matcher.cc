#include "config/class_matcher.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace samphire {

namespace {

// Matches any one segment, or any method.
constexpr std::string_view kWildcard = "*";
// As the last segment of a pattern, matches any number of segments.
constexpr std::string_view kWildcardTail = "**";
// Bounds the segments of a path. Longer paths match no class, which limits the
// processing cost of a maliciously long path.
constexpr std::size_t kMaxSegments = 64;

// The segments of a path, without the slashes.
using segments = std::vector<std::string>;

// Splits a path at its slashes. Returns nothing if the path is not absolute,
// has too many segments, ends in a slash, or has an empty or dot segment.
std::optional<segments> SplitPath(std::string_view path) {
  if (!path.starts_with('/'))
    return std::nullopt;
  path.remove_prefix(1);
  segments split;
  while (!path.empty()) {
    const auto slash = path.find('/');
    split.emplace_back(path.substr(0, slash));
    if (split.size() > kMaxSegments || slash + 1 == path.size())
      return std::nullopt;
    path.remove_prefix(slash == std::string_view::npos ? path.size()
                                                       : slash + 1);
  }
  const bool normalized = std::none_of(
      split.begin(), split.end(),
      [](auto& one) { return one.empty() || one == "." || one == ".."; });
  return normalized ? std::optional(std::move(split)) : std::nullopt;
}

// Percent-decodes a segment in place. A target decodes the path before it uses
// it, so a gate acknowledgement sent as /gates/7/%61ck must not match a class
// whose requests may be repeated. Returns false for a segment that is encoded
// incorrectly or decodes to a dot segment or to text with a slash, backslash or
// NUL, since targets may interpret such a path differently.
bool DecodeSegment(std::string& segment) {
  if (segment.find('%') == std::string::npos)
    return true;
  std::string decoded;
  try {
    Poco::URI::decode(segment, decoded);
  } catch (const Poco::Exception&) {
    return false;
  }
  segment = decoded;
  return segment.find_first_of(std::string_view("/\\\0", 3)) ==
             std::string::npos &&
         segment != "." && segment != "..";
}

// Splits and decodes the path of a request and ignores its query.
std::optional<segments> SplitRequestPath(std::string_view path) {
  auto split = SplitPath(path.substr(0, path.find('?')));
  if (split && !std::all_of(split->begin(), split->end(), DecodeSegment))
    return std::nullopt;
  return split;
}

// How one segment of a pattern matches, from least to most specific. kEnd marks
// a pattern that matches the whole path without a wildcard tail.
enum class segment_match { kTail, kWildcard, kExact, kEnd };

// How each segment of a pattern matches. Compared lexicographically; the
// greater value belongs to the more specific class.
using specificity = std::vector<segment_match>;

// Returns how specifically `pattern` matches `path`, or nothing if it does not.
std::optional<specificity> MatchPattern(const segments& pattern,
                                        const segments& path) {
  specificity match;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == kWildcardTail && i + 1 == pattern.size()) {
      match.push_back(segment_match::kTail);
      return match;
    }
    if (i >= path.size() || (pattern[i] != kWildcard && pattern[i] != path[i]))
      return std::nullopt;
    match.push_back(pattern[i] == kWildcard ? segment_match::kWildcard
                                            : segment_match::kExact);
  }
  if (pattern.size() != path.size())
    return std::nullopt;
  match.push_back(segment_match::kEnd);
  return match;
}

}  // namespace

const request_class* MatchClass(const service& declared,
                                std::string_view method,
                                std::string_view path) {
  const auto split = SplitRequestPath(path);
  if (!split)
    return nullptr;
  const request_class* best = nullptr;
  std::pair<specificity, bool> best_match;
  for (const auto& one : declared.classes) {
    if (one.method != kWildcard && one.method != method)
      continue;
    const auto pattern = SplitPath(one.path);
    const auto match = pattern ? MatchPattern(*pattern, *split) : std::nullopt;
    if (!match)
      continue;
    std::pair<specificity, bool> candidate(*match, one.method != kWildcard);
    if (best == nullptr || candidate > best_match) {
      best = &one;
      best_match = std::move(candidate);
    }
  }
  return best;
}

bool IsClassPath(std::string_view path) {
  const auto split = SplitPath(path);
  return split && std::find(split->begin(), split->end(), kWildcardTail) >=
                      split->end() - (split->empty() ? 0 : 1);
}

}  // namespace samphire
