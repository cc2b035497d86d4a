#include "membership/region_directory.h"

#include <algorithm>

namespace samphire {

namespace {

// Largest time by which a digest may be ahead of the own clock. A digest from
// further in the future would keep out all correct ones until its time comes:
// one wrong clock would freeze what the fleet knows of a region.
constexpr std::int64_t kMaxAheadMs = 30'000;
// Bounds the regions that are kept. It is far more than will be declared, and
// limits the memory that signed but invalid messages can take.
constexpr std::size_t kMaxRegions = 256;

bool SameContacts(const region_digest& left, const region_digest& right) {
  return std::ranges::equal(
      left.contacts, right.contacts, {},
      [](const auto& contact) { return contact.caller_address; },
      [](const auto& contact) { return contact.caller_address; });
}

}  // namespace

region_directory::merge_result region_directory::Merge(
    const region_digest& seen,
    std::int64_t now) {
  if (seen.region == own_region_ || seen.region.empty() ||
      seen.as_of > now + kMaxAheadMs) {
    return merge_result::kNone;
  }
  const auto found = digests_.find(seen.region);
  if (found == digests_.end()) {
    if (digests_.size() >= kMaxRegions)
      return merge_result::kNone;
    digests_[seen.region] = seen;
    return merge_result::kChanged;
  }
  auto& known = found->second;
  if (seen.as_of <= known.as_of)
    return merge_result::kNone;
  const bool same =
      SameContacts(known, seen) && known.config_version == seen.config_version;
  known = seen;
  return same ? merge_result::kRefreshed : merge_result::kChanged;
}

const region_digest* region_directory::Find(std::string_view region) const {
  const auto found = digests_.find(region);
  return found == digests_.end() ? nullptr : &found->second;
}

std::vector<std::string> region_directory::FreshWithin(milliseconds age,
                                                       std::int64_t now) const {
  std::vector<std::string> fresh;
  for (const auto& [region, digest] : digests_) {
    if (now - digest.as_of <= age.count())
      fresh.push_back(region);
  }
  return fresh;
}

std::vector<std::string> region_directory::Stalest(std::size_t count,
                                                   milliseconds age,
                                                   std::int64_t now) const {
  std::vector<std::string> stale;
  for (const auto& [region, digest] : digests_) {
    if (now - digest.as_of > age.count())
      stale.push_back(region);
  }
  std::ranges::sort(stale, {}, [this](const std::string& region) {
    return digests_.find(region)->second.as_of;
  });
  stale.resize(std::min(count, stale.size()));
  return stale;
}

}  // namespace samphire
