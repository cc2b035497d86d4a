#ifndef DISTRIBUTION_IMAGE_LOADER_H_
#define DISTRIBUTION_IMAGE_LOADER_H_

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "distribution/config_image.h"

namespace samphire {

// Fetches the texts of chunks by ref, in the order of `refs`.
using chunk_fetch = std::function<result<std::vector<std::string>>(
    const std::vector<std::string>& refs)>;

// Whether to load an image with its history, which only a publisher needs: for
// the many followers it would be most of the bytes of a change.
enum class history_use { kSkip, kLoad };

// Loads the image of a root. Chunks of `base` (may be null) and `offered` are
// reused by their digest; only the missing ones are fetched, level by level of
// each tree. Every fetched chunk is checked against its digest, and the lines
// of fetched client blocks and of a new frame are parsed. Returns kStoreCorrupt
// if the root or a chunk is damaged, or the errors of `fetch` and ReadFrame.
result<image_ptr> LoadImage(const std::string& root_text,
                            const image_ptr& base,
                            const chunk_map& offered,
                            const chunk_fetch& fetch,
                            history_use history = history_use::kSkip);

}  // namespace samphire

#endif  // DISTRIBUTION_IMAGE_LOADER_H_
