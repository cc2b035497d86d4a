#ifndef STORE_OBJECT_MIRROR_H_
#define STORE_OBJECT_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock_source.h"
#include "store/watch_batch.h"

namespace samphire {

// A copy of the objects under one prefix, as watches of one source or another
// tell of them. Knows no threads and no clock.
class object_mirror {
 public:
  using object_map = std::map<std::string, std::string>;

  // Where the next watch goes on; 0 asks for everything.
  std::uint64_t cursor() const { return cursor_; }
  // Takes in what a watch from `cursor` told; true if the objects changed.
  bool Apply(const watch_batch& batch, time_point now);
  // Lets go of what was missing for long enough; true if anything was.
  bool Expire(time_point now);
  // When Expire is due, if it is.
  std::optional<time_point> expiry() const;

  // By key; the values.
  const object_map& objects() const { return objects_; }

 private:
  bool Remove(const std::set<std::string>& keys, time_point now);

  std::uint64_t cursor_ = 0;
  // The highest cursor so far.
  std::uint64_t newest_ = 0;
  object_map objects_;
  // Objects that are held though they were told to be gone, and until when.
  std::map<std::string, time_point> missing_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_MIRROR_H_
