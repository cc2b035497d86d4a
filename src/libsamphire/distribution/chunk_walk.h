#ifndef DISTRIBUTION_CHUNK_WALK_H_
#define DISTRIBUTION_CHUNK_WALK_H_

#include "distribution/config_chunk.h"
#include "distribution/line_tree.h"
#include "distribution/tree_ref.h"

namespace samphire {

// Calls `visit` for every line of the leaves of `tree`. The chunks of the tree
// must be in `chunks`; subtrees whose chunks are missing are skipped.
void ForEachTreeLine(const chunk_map& chunks,
                     const tree_ref& tree,
                     const line_visitor& visit);

}  // namespace samphire

#endif  // DISTRIBUTION_CHUNK_WALK_H_
