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

// A line tree stores a set of lines as chunks: the leaves hold the lines, which
// the topmost bits of the hashes of their keys distribute over the leaves, and
// inner chunks refer to their children by ref. A change of a few lines
// therefore replaces only the leaves concerned and the chunks above them. The
// functions below have no state and may be called from any thread.

// A line KEY\tVALUE with the hash of its key, which determines its leaf.
struct keyed_line {
  std::uint64_t hash = 0;
  std::string text;
};

// Returns the line KEY\tVALUE with the hash of `key`.
keyed_line MakeKeyedLine(std::string key, std::string_view value);

// Returns the number of hash bits for `count` lines; keeps `current` while the
// leaves stay within their bounds.
unsigned ChooseBits(std::size_t count, unsigned current);

// Result of BuildLineTree.
struct built_tree {
  tree_ref tree;
  // Every chunk of the tree; those that aren't in the base are new.
  std::vector<chunk_ptr> chunks;
};

// Builds the tree of `lines` with leaves selected by `bits` bits of the hash.
// Chunks whose text is in `base` are reused, new ones get a ref with `salt`.
built_tree BuildLineTree(std::vector<keyed_line> lines,
                         unsigned bits,
                         const chunk_map& base,
                         std::uint64_t salt);

using line_visitor = std::function<void(std::string_view line)>;
// Calls `visit` for each line of `text`, without its '\n'.
void ForEachLine(std::string_view text, const line_visitor& visit);

// One line of an inner chunk, which refers to a child. Refers to the text of
// the line, which must outlive it.
struct child_ref {
  // Index of the child, as two hexadecimal digits.
  std::string_view index;
  std::string_view ref;
};
// Parses a line into `child`; returns false if it is malformed.
bool ParseChild(std::string_view line, child_ref& child);

// Returns how many bits select among the children of a chunk with `bits` bits
// below it.
unsigned ChildBits(unsigned bits);

}  // namespace samphire

#endif  // DISTRIBUTION_LINE_TREE_H_
