#ifndef DISTRIBUTION_CHUNK_WALK_H_
#define DISTRIBUTION_CHUNK_WALK_H_

#include "distribution/config_chunk.h"
#include "distribution/line_tree.h"
#include "distribution/tree_ref.h"

namespace samphire {

// Visits every line of the leaves of `tree`; its chunks must be in `chunks`.
void ForEachTreeLine(const chunk_map& chunks,
                     const tree_ref& tree,
                     const line_visitor& visit);

}  // namespace samphire

#endif  // DISTRIBUTION_CHUNK_WALK_H_
