#include "distribution/config_update.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "distribution/line_tree.h"

namespace samphire {

namespace {

// Bounds the bytes of lines in one update. An ordinary change is a few hundred
// bytes; a larger update is a bulk change, whose chunks are better fetched in
// bounded pieces than sent in one message.
constexpr std::size_t kMaxUpdateBytes = 48'000;

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  ForEachLine(text, [&](std::string_view line) { lines.emplace_back(line); });
  return lines;
}

std::vector<std::string> LinesWithout(const std::vector<std::string>& from,
                                      const std::vector<std::string>& what) {
  std::vector<std::string> rest;
  std::set_difference(from.begin(), from.end(), what.begin(), what.end(),
                      std::back_inserter(rest));
  return rest;
}

class update_builder {
 public:
  update_builder(const config_image& base, const config_image& current)
      : base_(base), current_(current) {}

  void CompareTrees(const tree_ref& from, const tree_ref& to) {
    // If the bits differ, the leaves have nothing in common.
    if (from.bits == to.bits)
      CompareChunks(from.ref, to.ref, to.bits);
  }

  void CompareChunks(const std::string& from,
                     const std::string& to,
                     unsigned bits) {
    if (DigestOf(from) == DigestOf(to) || over_limit_)
      return;
    const auto old_chunk = base_.FindChunk(from);
    const auto new_chunk = current_.FindChunk(to);
    if (!new_chunk)
      return;
    Add(old_chunk, *new_chunk);
    if (bits > 0 && old_chunk)
      CompareChildren(old_chunk->text, new_chunk->text, bits);
  }

  std::vector<chunk_delta> Take() { return std::move(deltas_); }

 private:
  void Add(const chunk_ptr& from, const config_chunk& to) {
    const auto before =
        from ? SplitLines(from->text) : std::vector<std::string>();
    const auto after = SplitLines(to.text);
    chunk_delta delta{from ? DigestOf(from->ref) : "", to.ref,
                      LinesWithout(before, after), LinesWithout(after, before)};
    for (const auto* lines : {&delta.removed, &delta.added}) {
      for (const auto& line : *lines)
        bytes_ += line.size();
    }
    over_limit_ = bytes_ > kMaxUpdateBytes;
    if (!over_limit_)
      deltas_.push_back(std::move(delta));
  }

  void CompareChildren(const std::string& from,
                       const std::string& to,
                       unsigned bits) {
    std::map<std::string, std::string, std::less<>> old_children;
    child_ref child;
    ForEachLine(from, [&](std::string_view line) {
      if (ParseChild(line, child))
        old_children.emplace(child.index, child.ref);
    });
    ForEachLine(to, [&](std::string_view line) {
      if (!ParseChild(line, child))
        return;
      const auto old = old_children.find(child.index);
      CompareChunks(old == old_children.end() ? std::string() : old->second,
                    std::string(child.ref), bits - ChildBits(bits));
    });
  }

  const config_image& base_;
  const config_image& current_;
  std::vector<chunk_delta> deltas_;
  std::size_t bytes_ = 0;
  bool over_limit_ = false;
};

std::string ApplyDelta(const std::string& base, const chunk_delta& delta) {
  auto lines = LinesWithout(SplitLines(base), delta.removed);
  lines.insert(lines.end(), delta.added.begin(), delta.added.end());
  std::sort(lines.begin(), lines.end());
  std::string text;
  for (const auto& line : lines)
    text += line + '\n';
  return text;
}

}  // namespace

config_update MakeUpdate(const image_ptr& base, const config_image& current) {
  config_update update{current.root_text(), {}};
  if (!base)
    return update;
  update_builder builder(*base, current);
  builder.CompareTrees(base->root().frame, current.root().frame);
  builder.CompareTrees(base->root().blocks, current.root().blocks);

  update.deltas = builder.Take();
  return update;
}

// The digest is computed from the resulting text, so an incorrect delta can't
// pass for the chunk that it claims to produce.
chunk_map ApplyUpdate(const image_ptr& base, const config_update& update) {
  chunk_map made;
  for (const auto& delta : update.deltas) {
    const auto from = base ? base->FindChunk(delta.base) : nullptr;
    if (!from && !delta.base.empty())
      continue;
    auto text = ApplyDelta(from ? from->text : std::string(), delta);
    auto digest = ContentDigest(text);
    made[digest] =
        chunk_ptr(new config_chunk(MakeRef(digest, 0), std::move(text)));
  }
  return made;
}

}  // namespace samphire
