#ifndef MEMBERSHIP_REGION_SPEAKER_H_
#define MEMBERSHIP_REGION_SPEAKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/membership_options.h"
#include "membership/membership_table.h"
#include "membership/region_digest.h"
#include "membership/region_directory.h"

namespace samphire {

// What a region's delegates tell other regions, whom, and when. Pure.
class region_speaker {
 public:
  struct letter {
    std::string address;
    std::vector<region_digest> regions;
  };

  region_speaker(const membership_options& options,
                 time_point now,
                 std::mt19937_64& random);

  // Those that speak for the region of `table`.
  std::vector<std::string> Delegates(const membership_table& table) const;
  bool IsDelegate(const membership_table& table) const;

  // What this region looks like at the time of day `now_ms`.
  region_digest Describe(const membership_table& table,
                         std::int64_t now_ms) const;

  // The next message to another region, when it is time for one.
  std::optional<letter> Tick(const membership_table& table,
                             const region_directory& regions,
                             time_point now,
                             std::int64_t now_ms);

 private:
  std::size_t Pick(std::size_t count);

  const membership_options options_;
  std::mt19937_64& random_;
  time_point next_;
  std::size_t spoken_ = 0;
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_SPEAKER_H_
