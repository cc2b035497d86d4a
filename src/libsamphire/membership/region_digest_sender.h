#ifndef MEMBERSHIP_REGION_DIGEST_SENDER_H_
#define MEMBERSHIP_REGION_DIGEST_SENDER_H_

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

// Decides which digests the delegates of a region send to other regions, to
// which address, and when. Does no I/O and reads no clock. Not thread-safe.
class region_digest_sender {
 public:
  // A message to the entry at `address` of another region.
  struct digest_message {
    std::string address;
    std::vector<region_digest> regions;
  };

  // `random` must outlive this object.
  region_digest_sender(const membership_options& options,
                       time_point now,
                       std::mt19937_64& random);

  // Returns the names of the members that send digests for the region of
  // `table`.
  std::vector<std::string> Delegates(const membership_table& table) const;
  // Whether the entry that `table` belongs to is a delegate.
  bool IsDelegate(const membership_table& table) const;

  // Returns the digest of the own region at the time of day `now_ms`.
  region_digest BuildDigest(const membership_table& table,
                            std::int64_t now_ms) const;

  // Returns the next message to another region, if one is due and this entry is
  // a delegate.
  std::optional<digest_message> Tick(const membership_table& table,
                                     const region_directory& regions,
                                     time_point now,
                                     std::int64_t now_ms);

 private:
  // Returns a random number below `count`.
  std::size_t Pick(std::size_t count);

  const membership_options options_;
  std::mt19937_64& random_;
  time_point next_;
  std::size_t sent_count_ = 0;
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_DIGEST_SENDER_H_
