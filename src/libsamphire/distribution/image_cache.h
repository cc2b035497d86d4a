#ifndef DISTRIBUTION_IMAGE_CACHE_H_
#define DISTRIBUTION_IMAGE_CACHE_H_

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "distribution/config_update.h"

namespace samphire {

// Caches the most recent images of an entry, from which requests of its peers
// are served. Thread-safe; calls don't block on I/O.
class image_cache {
 public:
  // Adds an image; ignored unless it is newer than the current one.
  void Add(image_ptr image);
  // The newest image; null before the first one.
  image_ptr current() const;

  // Returns the update from `have_version` to the current image, without deltas
  // if that version isn't cached. kNoConfiguration before the first image.
  result<config_update> Pull(std::uint64_t have_version) const;
  // Returns the texts of chunks in the order of `refs`; kStoreNotFound if one
  // of them is in no cached image.
  result<std::vector<std::string>> Chunks(
      const std::vector<std::string>& refs) const;

 private:
  // Returns the cached image with this version, or null.
  image_ptr Find(std::uint64_t version) const;

  mutable std::mutex lock_;
  // In ascending order of versions. Protected by `lock_`.
  std::deque<image_ptr> images_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_IMAGE_CACHE_H_
