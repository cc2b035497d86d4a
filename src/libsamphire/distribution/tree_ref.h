#ifndef DISTRIBUTION_TREE_REF_H_
#define DISTRIBUTION_TREE_REF_H_

#include <string>

namespace samphire {

// Refers to a tree of chunks: the ref of its top chunk, and how many bits of a
// line's hash determine the leaf. With 0 bits the top chunk is the only leaf.
struct tree_ref {
  std::string ref;
  unsigned bits = 0;
};

}  // namespace samphire

#endif  // DISTRIBUTION_TREE_REF_H_
