#ifndef DISTRIBUTION_CHANGE_BUILDER_H_
#define DISTRIBUTION_CHANGE_BUILDER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "distribution/config_image.h"
#include "distribution/line_tree.h"

namespace samphire {

// What is to be declared, as lines. No blocks: they stay as they are.
struct changed_lines {
  std::vector<keyed_line> frame;
  std::optional<std::vector<keyed_line>> blocks;
};

// A change ready to be written: first its chunks, then its root.
struct built_change {
  config_root root;
  // Chunks that the platform doesn't hold yet.
  std::vector<chunk_ptr> fresh;
  // Chunks that were written for its proposal.
  std::vector<chunk_ptr> proposed;
};

// The digest of everything that `lines` declare; `base` supplies the blocks
// that stay.
std::string ContentOf(const changed_lines& lines, const image_ptr& base);

// Builds the trees of `lines`, sharing what it can with `base`.
built_change BuildTrees(changed_lines lines,
                        const image_ptr& base,
                        std::uint64_t salt);

// Completes a change whose trees are built: version, history and the list of
// refs that it drops. `history` is what the new history keeps of the old one.
void CompleteChange(built_change& built,
                    const config_change& change,
                    const std::vector<config_change>& history,
                    const image_ptr& base,
                    std::uint64_t salt);

}  // namespace samphire

#endif  // DISTRIBUTION_CHANGE_BUILDER_H_
