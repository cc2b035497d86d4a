#include "distribution/image_cache.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Bounds the cached images. At a change every 4 s, a peer may be half a minute
// behind and still get a delta. Images share their chunks, so each costs little
// more memory than a map.
constexpr std::size_t kMaxImages = 8;

}  // namespace

void image_cache::Add(image_ptr image) {
  std::lock_guard guard(lock_);
  if (!images_.empty() && images_.back()->version() >= image->version())
    return;
  images_.push_back(std::move(image));
  if (images_.size() > kMaxImages)
    images_.pop_front();
}

image_ptr image_cache::current() const {
  std::lock_guard guard(lock_);
  return images_.empty() ? nullptr : images_.back();
}

result<config_update> image_cache::Pull(std::uint64_t have_version) const {
  const auto image = current();
  if (!image)
    return MakeError(result_code::kNoConfiguration);
  return MakeUpdate(Find(have_version), *image);
}

result<std::vector<std::string>> image_cache::Chunks(
    const std::vector<std::string>& refs) const {
  std::deque<image_ptr> images;
  {
    std::lock_guard guard(lock_);
    images = images_;
  }
  std::vector<std::string> texts;
  for (const auto& ref : refs) {
    chunk_ptr found;
    for (auto it = images.rbegin(); it != images.rend() && !found; ++it)
      found = (*it)->FindChunk(ref);
    if (!found)
      return MakeError(result_code::kStoreNotFound, ref);
    texts.push_back(found->text);
  }
  return texts;
}

image_ptr image_cache::Find(std::uint64_t version) const {
  std::lock_guard guard(lock_);
  const auto found = std::find_if(
      images_.begin(), images_.end(),
      [&](const auto& image) { return image->version() == version; });
  return found == images_.end() ? nullptr : *found;
}

}  // namespace samphire
