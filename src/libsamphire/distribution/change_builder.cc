#include "distribution/change_builder.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "distribution/chunk_walk.h"

namespace samphire {

namespace {

const chunk_map& ChunksOf(const image_ptr& base) {
  static const chunk_map none;
  return base ? base->chunks() : none;
}

std::string SortedText(std::vector<std::string> lines) {
  std::sort(lines.begin(), lines.end());
  std::string text;
  for (const auto& line : lines)
    text += line + '\n';
  return text;
}

void AddTree(built_change& built,
             std::vector<keyed_line> lines,
             const tree_ref& current,
             const image_ptr& base,
             std::uint64_t salt,
             tree_ref& tree) {
  const auto bits = ChooseBits(lines.size(), current.bits);
  auto made = BuildLineTree(std::move(lines), bits, ChunksOf(base), salt);
  tree = made.tree;
  for (auto& chunk : made.chunks) {
    if (!ChunksOf(base).contains(DigestOf(chunk->ref)))
      built.new_chunks.push_back(std::move(chunk));
  }
}

void CollectTreeRefs(const chunk_map& chunks,
                     const tree_ref& tree,
                     std::unordered_set<std::string>& refs) {
  const auto found = chunks.find(DigestOf(tree.ref));
  if (found == chunks.end())
    return;
  refs.insert(tree.ref);
  if (tree.bits == 0)
    return;
  const unsigned below = tree.bits - ChildBits(tree.bits);
  ForEachLine(found->second->text, [&](std::string_view line) {
    child_ref child;
    if (ParseChild(line, child))
      CollectTreeRefs(chunks, {std::string(child.ref), below}, refs);
  });
}

// Returns the refs that `base` names and the new trees don't.
std::vector<std::string> DroppedRefs(const built_change& built,
                                     const image_ptr& base) {
  if (!base)
    return {};
  auto chunks = base->chunks();
  for (const auto& chunk : built.new_chunks)
    chunks[DigestOf(chunk->ref)] = chunk;
  for (const auto& chunk : built.proposed_chunks)
    chunks[DigestOf(chunk->ref)] = chunk;
  std::unordered_set<std::string> kept;
  CollectTreeRefs(chunks, built.root.frame, kept);
  CollectTreeRefs(chunks, built.root.blocks, kept);
  std::vector<std::string> dropped;
  for (const auto& [digest, chunk] : base->chunks()) {
    if (!kept.contains(chunk->ref))
      dropped.push_back(chunk->ref);
  }
  return dropped;
}

std::string AddChunk(built_change& built,
                     const std::vector<std::string>& lines,
                     std::uint64_t salt) {
  built.new_chunks.push_back(MakeChunk(SortedText(lines), salt));
  return built.new_chunks.back()->ref;
}

}  // namespace

std::string ContentDigestOf(const declared_lines& lines,
                            const image_ptr& base) {
  // The sum of the line digests doesn't depend on the order of the lines.
  std::uint64_t sum = 0;
  const auto add = [&](std::string_view line) {
    sum += std::stoull(ContentDigest(line).substr(0, 16), nullptr, 16);
  };
  for (const auto& line : lines.frame)
    add(line.text);
  if (lines.blocks) {
    for (const auto& line : *lines.blocks)
      add(line.text);
  } else if (base) {
    ForEachTreeLine(base->chunks(), base->root().blocks, add);
  }
  return ContentDigest(std::to_string(sum));
}

built_change BuildTrees(declared_lines lines,
                        const image_ptr& base,
                        std::uint64_t salt) {
  built_change built;
  const auto current = base ? base->root() : config_root();
  AddTree(built, std::move(lines.frame), current.frame, base, salt,
          built.root.frame);
  if (lines.blocks) {
    AddTree(built, std::move(*lines.blocks), current.blocks, base, salt,
            built.root.blocks);
  } else {
    built.root.blocks = current.blocks;
  }
  return built;
}

void CompleteChange(built_change& built,
                    const config_change& change,
                    const std::vector<config_change>& history,
                    const image_ptr& base,
                    std::uint64_t salt) {
  built.root.change = change;
  const auto dropped = DroppedRefs(built, base);
  if (!dropped.empty())
    built.root.change.dropped = AddChunk(built, dropped, salt);
  std::vector<std::string> lines;
  lines.reserve(history.size() + 1);
  for (const auto& old : history)
    lines.push_back(WriteHistoryLine(old));
  lines.push_back(WriteHistoryLine(built.root.change));
  built.root.history = AddChunk(built, lines, salt);
}

}  // namespace samphire
