#ifndef DISTRIBUTION_IMAGE_SHELF_H_
#define DISTRIBUTION_IMAGE_SHELF_H_

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "distribution/config_update.h"

namespace samphire {

// The images that an entry held last, from which it answers its peers.
class image_shelf {
 public:
  // Images older than the present one are ignored.
  void Add(image_ptr image);
  // Null before the first image.
  image_ptr present() const;

  // kNoConfiguration before the first image.
  result<config_update> Pull(std::uint64_t have_version) const;
  // kStoreNotFound if one of them is on no image here.
  result<std::vector<std::string>> Chunks(
      const std::vector<std::string>& refs) const;

 private:
  image_ptr Find(std::uint64_t version) const;

  mutable std::mutex lock_;
  std::deque<image_ptr> images_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_IMAGE_SHELF_H_
