#ifndef DISTRIBUTION_TREE_REF_H_
#define DISTRIBUTION_TREE_REF_H_

#include <string>

namespace samphire {

// A tree of chunks: its top, and how many bits of a line's hash choose the
// leaf. With 0 bits the top is the only leaf.
struct tree_ref {
  std::string ref;
  unsigned bits = 0;
};

}  // namespace samphire

#endif  // DISTRIBUTION_TREE_REF_H_
