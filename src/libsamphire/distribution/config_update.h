#ifndef DISTRIBUTION_CONFIG_UPDATE_H_
#define DISTRIBUTION_CONFIG_UPDATE_H_

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

#include "distribution/config_image.h"

namespace samphire {

// Describes one chunk as the lines that differ from another chunk.
struct chunk_delta {
  // Digest of the chunk to start from; empty to start from an empty chunk.
  std::string base;
  // Ref of the resulting chunk.
  std::string ref;
  std::vector<std::string> removed;
  std::vector<std::string> added;

  template <typename A>
  void serialize(A& archive) {
    archive(base, ref, removed, added);
  }
};

// Sent by one entry to bring another one to its own version. Chunks that it
// leaves out are requested by ref.
struct config_update {
  std::string root_text;
  std::vector<chunk_delta> deltas;

  template <typename A>
  void serialize(A& archive) {
    archive(root_text, deltas);
  }
};

// Returns the update from `base` (may be null) to `current`.
config_update MakeUpdate(const image_ptr& base, const config_image& current);

// Returns, by digest, the chunks that `update` produces from those of `base`
// (may be null). A delta whose base chunk is missing is skipped; its chunk is
// then fetched as a whole.
chunk_map ApplyUpdate(const image_ptr& base, const config_update& update);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_UPDATE_H_
