#include "distribution/line_tree.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <span>
#include <utility>

namespace samphire {

namespace {

// Hash bits per level of the tree. 64 children of 53 bytes make an inner chunk
// of 3.4 kB: about as much as the leaf below it, which minimizes the bytes per
// change.
constexpr unsigned kFanOutBits = 6;
// Bounds the bits of a tree, and so its depth.
constexpr unsigned kMaxBits = 24;
// Bounds of the average number of lines per leaf. A leaf of 64 to 512 lines is
// 2 to 16 kB of client blocks. Smaller leaves would cost an entry's first load
// more calls, larger ones each change more bytes. The range is wide so that a
// fluctuating number of lines doesn't rebuild the whole tree.
constexpr std::size_t kMinLinesPerLeaf = 64;
constexpr std::size_t kTargetLinesPerLeaf = 256;
constexpr std::size_t kMaxLinesPerLeaf = 512;
// Width of keyed_line::hash.
constexpr unsigned kHashBits = 64;

class tree_builder {
 public:
  tree_builder(const chunk_map& base, std::uint64_t salt)
      : base_(base), salt_(salt) {}

  // Builds the subtree of `lines`, which share the `used` topmost bits of their
  // hashes and are distributed by the next `bits`, and returns its ref.
  std::string Build(std::span<keyed_line> lines, unsigned used, unsigned bits) {
    return bits == 0 ? Leaf(lines) : Inner(lines, used, bits);
  }

  std::vector<chunk_ptr> Take() { return std::move(chunks_); }

 private:
  std::string Leaf(std::span<keyed_line> lines) {
    std::sort(lines.begin(), lines.end(),
              [](const auto& a, const auto& b) { return a.text < b.text; });
    std::string text;
    for (const auto& line : lines) {
      text += line.text;
      text += '\n';
    }
    return Add(std::move(text));
  }

  std::string Inner(std::span<keyed_line> lines, unsigned used, unsigned bits) {
    const unsigned width = ChildBits(bits);
    const auto index_of = [&](const keyed_line& line) {
      return (line.hash << used) >> (kHashBits - width);
    };
    std::string text;
    for (auto first = lines.begin(); first != lines.end();) {
      const auto index = index_of(*first);
      const auto last = std::find_if(first, lines.end(), [&](const auto& line) {
        return index_of(line) != index;
      });
      text += fmt::format("{:02x} {}\n", index,
                          Build({first, last}, used + width, bits - width));
      first = last;
    }
    return Add(std::move(text));
  }

  std::string Add(std::string text) {
    const auto known = base_.find(ContentDigest(text));
    chunks_.push_back(known != base_.end() ? known->second
                                           : MakeChunk(std::move(text), salt_));
    return chunks_.back()->ref;
  }

  const chunk_map& base_;
  const std::uint64_t salt_;
  std::vector<chunk_ptr> chunks_;
};

}  // namespace

keyed_line MakeKeyedLine(std::string key, std::string_view value) {
  const auto hash = XXH3_64bits(key.data(), key.size());
  key += '\t';
  key += value;
  return {hash, std::move(key)};
}

unsigned ChooseBits(std::size_t count, unsigned current) {
  const std::size_t per_leaf = count >> current;
  const bool too_few = current > 0 && per_leaf < kMinLinesPerLeaf;
  if (!too_few && per_leaf <= kMaxLinesPerLeaf)
    return current;
  unsigned bits = 0;
  while (bits < kMaxBits && count >> bits > kTargetLinesPerLeaf)
    ++bits;
  return bits;
}

unsigned ChildBits(unsigned bits) {
  const unsigned rest = bits % kFanOutBits;
  return rest == 0 ? kFanOutBits : rest;
}

built_tree BuildLineTree(std::vector<keyed_line> lines,
                         unsigned bits,
                         const chunk_map& base,
                         std::uint64_t salt) {
  std::sort(lines.begin(), lines.end(),
            [](const auto& a, const auto& b) { return a.hash < b.hash; });
  tree_builder builder(base, salt);
  built_tree built;
  built.tree = {builder.Build(lines, 0, bits), bits};
  built.chunks = builder.Take();
  return built;
}

void ForEachLine(std::string_view text, const line_visitor& visit) {
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    visit(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

bool ParseChild(std::string_view line, child_ref& child) {
  const auto space = line.find(' ');
  if (space != 2)
    return false;
  child = {line.substr(0, space), line.substr(space + 1)};
  return child.ref.find('.') != std::string_view::npos;
}

}  // namespace samphire
