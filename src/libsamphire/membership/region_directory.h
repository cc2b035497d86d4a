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

// The newest digest of each other region that one entry has received. Does no
// I/O and reads no clock. Not thread-safe.
class region_directory {
 public:
  // What a received digest changed.
  enum class merge_result {
    kNone,
    // The digest is newer, with the same contacts and configuration version.
    kRefreshed,
    // Contacts or configuration version differ; the members of this region
    // should get an update soon.
    kChanged,
  };

  explicit region_directory(std::string own_region)
      : own_region_(std::move(own_region)) {}

  // Takes in a received digest, unless the known one is newer. `now` is the
  // time of day of this entry in milliseconds, as in `as_of`.
  merge_result Merge(const region_digest& seen, std::int64_t now);

  // Returns the digest of a region, or null if none is known.
  const region_digest* Find(std::string_view region) const;
  const std::map<std::string, region_digest, std::less<>>& digests() const {
    return digests_;
  }
  // Returns the names of the regions whose digest is at most `age` old.
  std::vector<std::string> FreshWithin(milliseconds age,
                                       std::int64_t now) const;
  // Returns the names of up to `count` regions with the oldest digests, if
  // those are older than `age`.
  std::vector<std::string> Stalest(std::size_t count,
                                   milliseconds age,
                                   std::int64_t now) const;

 private:
  const std::string own_region_;
  std::map<std::string, region_digest, std::less<>> digests_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_DIRECTORY_H_
