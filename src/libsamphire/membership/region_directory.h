#ifndef MEMBERSHIP_REGION_DIRECTORY_H_
#define MEMBERSHIP_REGION_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock_source.h"
#include "membership/region_digest.h"

namespace samphire {

// What one entry knows of the other regions. Pure.
class region_directory {
 public:
  enum class effect {
    kNone,
    // Newer, with the same contacts and configuration.
    kRefreshed,
    // Others in this region should hear of it soon.
    kChanged,
  };

  explicit region_directory(std::string own_region)
      : own_region_(std::move(own_region)) {}

  // `now` is the time of day here, in milliseconds, as in `as_of`.
  effect Merge(const region_digest& seen, std::int64_t now);

  const region_digest* Find(std::string_view region) const;
  const std::map<std::string, region_digest, std::less<>>& digests() const {
    return digests_;
  }
  // Names of the regions heard of within `age`.
  std::vector<std::string> FreshWithin(milliseconds age,
                                       std::int64_t now) const;
  // The `count` regions longest not heard of, if for longer than `age`.
  std::vector<std::string> Stalest(std::size_t count,
                                   milliseconds age,
                                   std::int64_t now) const;

 private:
  const std::string own_region_;
  std::map<std::string, region_digest, std::less<>> digests_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_DIRECTORY_H_
