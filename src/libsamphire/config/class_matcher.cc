#include "config/class_matcher.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace samphire {

namespace {

constexpr std::string_view kAny = "*";
constexpr std::string_view kAnyRest = "**";
// Longer paths are no class of anyone's; the bound keeps a hostile path from
// costing more than its share.
constexpr std::size_t kMaxSegments = 64;

using segments = std::vector<std::string>;

std::optional<segments> Split(std::string_view path) {
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
  const bool plain = std::none_of(split.begin(), split.end(), [](auto& one) {
    return one.empty() || one == "." || one == "..";
  });
  return plain ? std::optional(std::move(split)) : std::nullopt;
}

// A target decodes percent signs before it looks at the path, so a gate
// acknowledgement sent as /gates/7/%61ck must not pass for something that may
// be repeated. A segment that hides a slash or a dot segment can't be told
// from two segments, so it matches nothing.
bool Decode(std::string& segment) {
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

std::optional<segments> SplitRequest(std::string_view path) {
  auto split = Split(path.substr(0, path.find('?')));
  if (split && !std::all_of(split->begin(), split->end(), Decode))
    return std::nullopt;
  return split;
}

enum class closeness { kRest, kAny, kExact, kEnd };

// How closely each segment of a pattern fits; compared in order, the greater
// is the more specific class.
using specificity = std::vector<closeness>;

std::optional<specificity> Fit(const segments& pattern, const segments& path) {
  specificity fit;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i] == kAnyRest && i + 1 == pattern.size()) {
      fit.push_back(closeness::kRest);
      return fit;
    }
    if (i >= path.size() || (pattern[i] != kAny && pattern[i] != path[i]))
      return std::nullopt;
    fit.push_back(pattern[i] == kAny ? closeness::kAny : closeness::kExact);
  }
  if (pattern.size() != path.size())
    return std::nullopt;
  fit.push_back(closeness::kEnd);
  return fit;
}

}  // namespace

const request_class* MatchClass(const service& declared,
                                std::string_view method,
                                std::string_view path) {
  const auto split = SplitRequest(path);
  if (!split)
    return nullptr;
  const request_class* best = nullptr;
  std::pair<specificity, bool> best_fit;
  for (const auto& one : declared.classes) {
    if (one.method != kAny && one.method != method)
      continue;
    const auto pattern = Split(one.path);
    const auto fit = pattern ? Fit(*pattern, *split) : std::nullopt;
    if (!fit)
      continue;
    std::pair<specificity, bool> candidate(*fit, one.method != kAny);
    if (best == nullptr || candidate > best_fit) {
      best = &one;
      best_fit = std::move(candidate);
    }
  }
  return best;
}

bool IsClassPath(std::string_view path) {
  const auto split = Split(path);
  return split && std::find(split->begin(), split->end(), kAnyRest) >=
                      split->end() - (split->empty() ? 0 : 1);
}

}  // namespace samphire
