#ifndef DISTRIBUTION_CONFIG_UPDATE_H_
#define DISTRIBUTION_CONFIG_UPDATE_H_

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

#include "distribution/config_image.h"

namespace samphire {

// How one chunk comes about from another: the lines that differ.
struct chunk_delta {
  // The digest of the chunk to start from; empty: from nothing.
  std::string base;
  std::string ref;
  std::vector<std::string> removed;
  std::vector<std::string> added;

  template <typename A>
  void serialize(A& archive) {
    archive(base, ref, removed, added);
  }
};

// What one entry sends another to bring it to its own version. Chunks that it
// leaves out are asked for by ref.
struct config_update {
  std::string root_text;
  std::vector<chunk_delta> deltas;

  template <typename A>
  void serialize(A& archive) {
    archive(root_text, deltas);
  }
};

// The update from `base` (may be null) to `present`.
config_update MakeUpdate(const image_ptr& base, const config_image& present);

// The chunks that `update` makes out of those of `base`, by digest. A delta
// that doesn't fit is left out: its chunk is fetched whole then.
chunk_map ApplyUpdate(const image_ptr& base, const config_update& update);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_UPDATE_H_
