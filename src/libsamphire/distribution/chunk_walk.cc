#include "distribution/chunk_walk.h"

namespace samphire {

void ForEachTreeLine(const chunk_map& chunks,
                     const tree_ref& tree,
                     const line_visitor& visit) {
  const auto found = chunks.find(DigestOf(tree.ref));
  if (found == chunks.end())
    return;
  if (tree.bits == 0) {
    ForEachLine(found->second->text, visit);
    return;
  }
  const unsigned below = tree.bits - ChildBits(tree.bits);
  ForEachLine(found->second->text, [&](std::string_view line) {
    child_ref child;
    if (ParseChild(line, child))
      ForEachTreeLine(chunks, {std::string(child.ref), below}, visit);
  });
}

}  // namespace samphire
