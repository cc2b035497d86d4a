#ifndef DISTRIBUTION_CHANGE_BUILDER_H_
#define DISTRIBUTION_CHANGE_BUILDER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "distribution/config_image.h"
#include "distribution/line_tree.h"

namespace samphire {

// The declaration to apply, as the lines of its two trees: the frame
// (everything but the client blocks) and the client blocks. Without `blocks`,
// the client blocks of the base version are kept.
struct declared_lines {
  std::vector<keyed_line> frame;
  std::optional<std::vector<keyed_line>> blocks;
};

// A change ready to be written to the platform: its chunks first, then the root
// that refers to them.
struct built_change {
  config_root root;
  // Chunks that are not in the platform's object store yet.
  std::vector<chunk_ptr> new_chunks;
  // Chunks that were already written when the change was proposed.
  std::vector<chunk_ptr> proposed_chunks;
};

// Returns a digest of everything that `lines` declare, which doesn't depend on
// the order of the lines. `base` (may be null) supplies the client blocks if
// `lines` has none.
std::string ContentDigestOf(const declared_lines& lines, const image_ptr& base);

// Builds the trees of `lines`. Chunks whose text is also in `base` (may be
// null) are reused; the refs of new ones carry `salt`, which must be unique to
// this attempt.
built_change BuildTrees(declared_lines lines,
                        const image_ptr& base,
                        std::uint64_t salt);

// Completes a change whose trees are built: sets its version, writes its
// history chunk, and lists the refs that `base` names and the new trees don't,
// for later garbage collection. `history` holds the earlier changes that the
// new history retains.
void CompleteChange(built_change& built,
                    const config_change& change,
                    const std::vector<config_change>& history,
                    const image_ptr& base,
                    std::uint64_t salt);

}  // namespace samphire

#endif  // DISTRIBUTION_CHANGE_BUILDER_H_
