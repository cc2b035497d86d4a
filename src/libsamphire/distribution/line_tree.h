#ifndef DISTRIBUTION_LINE_TREE_H_
#define DISTRIBUTION_LINE_TREE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "distribution/config_chunk.h"
#include "distribution/tree_ref.h"

namespace samphire {

// A line KEY\tVALUE with the hash of its key, which chooses its leaf.
struct keyed_line {
  std::uint64_t hash = 0;
  std::string text;
};

keyed_line MakeKeyedLine(std::string key, std::string_view value);

// How many bits suit `count` lines; keeps `present` while it is near enough.
unsigned ChooseBits(std::size_t count, unsigned present);

struct built_tree {
  tree_ref tree;
  // Every chunk of the tree; those not in the base are new.
  std::vector<chunk_ptr> chunks;
};

// Builds the tree of `lines`; chunks whose text is in `base` are taken over.
built_tree BuildLineTree(std::vector<keyed_line> lines,
                         unsigned bits,
                         const chunk_map& base,
                         std::uint64_t salt);

using line_visitor = std::function<void(std::string_view line)>;
void ForEachLine(std::string_view text, const line_visitor& visit);

// One line of an inner chunk.
struct child_ref {
  // Which child, as two hexadecimal digits.
  std::string_view index;
  std::string_view ref;
};
// False if `line` is not one.
bool ParseChild(std::string_view line, child_ref& child);

// How many bits choose among the children of a chunk that has `bits` bits
// below it.
unsigned ChildBits(unsigned bits);

}  // namespace samphire

#endif  // DISTRIBUTION_LINE_TREE_H_
