#ifndef DISTRIBUTION_IMAGE_LOADER_H_
#define DISTRIBUTION_IMAGE_LOADER_H_

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "distribution/config_image.h"

namespace samphire {

// Gets the texts of chunks by ref, in the order asked.
using chunk_fetch = std::function<result<std::vector<std::string>>(
    const std::vector<std::string>& refs)>;

// Whether an image holds the history, which only a publisher needs: for the
// many who follow it would be most of the bytes of a change.
enum class history_use { kLeaveOut, kLoad };

// Makes the image of a root. Chunks of `base` and `offered` are used by their
// digest; only what is missing is fetched, level by level. Every chunk is
// checked against its digest and every line read: kStoreCorrupt if not sound.
result<image_ptr> LoadImage(const std::string& root_text,
                            const image_ptr& base,
                            const chunk_map& offered,
                            const chunk_fetch& fetch,
                            history_use history = history_use::kLeaveOut);

}  // namespace samphire

#endif  // DISTRIBUTION_IMAGE_LOADER_H_
