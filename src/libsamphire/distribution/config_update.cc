#include "distribution/config_update.h"

#include <algorithm>
#include <iterator>
#include <map>

#include "distribution/line_tree.h"

namespace samphire {

namespace {

// A change is a few hundred bytes. An update of more is a bulk change, whose
// chunks are better fetched in bounded pieces than sent in one message.
constexpr std::size_t kMaxUpdateBytes = 48'000;

std::vector<std::string> Lines(std::string_view text) {
  std::vector<std::string> lines;
  ForEachLine(text, [&](std::string_view line) { lines.emplace_back(line); });
  return lines;
}

std::vector<std::string> Minus(const std::vector<std::string>& from,
                               const std::vector<std::string>& what) {
  std::vector<std::string> rest;
  std::set_difference(from.begin(), from.end(), what.begin(), what.end(),
                      std::back_inserter(rest));
  return rest;
}

class update_maker {
 public:
  update_maker(const config_image& base, const config_image& present)
      : base_(base), present_(present) {}

  void Trees(const tree_ref& from, const tree_ref& to) {
    // With other bits the leaves have nothing in common.
    if (from.bits == to.bits)
      Chunks(from.ref, to.ref, to.bits);
  }

  void Chunks(const std::string& from, const std::string& to, unsigned bits) {
    if (DigestOf(from) == DigestOf(to) || full_)
      return;
    const auto old_chunk = base_.FindChunk(from);
    const auto new_chunk = present_.FindChunk(to);
    if (!new_chunk)
      return;
    Add(old_chunk, *new_chunk);
    if (bits > 0 && old_chunk)
      Children(old_chunk->text, new_chunk->text, bits);
  }

  std::vector<chunk_delta> Take() { return std::move(deltas_); }

 private:
  void Add(const chunk_ptr& from, const config_chunk& to) {
    const auto before = from ? Lines(from->text) : std::vector<std::string>();
    const auto after = Lines(to.text);
    chunk_delta delta{from ? DigestOf(from->ref) : "", to.ref,
                      Minus(before, after), Minus(after, before)};
    for (const auto* lines : {&delta.removed, &delta.added}) {
      for (const auto& line : *lines)
        bytes_ += line.size();
    }
    full_ = bytes_ > kMaxUpdateBytes;
    if (!full_)
      deltas_.push_back(std::move(delta));
  }

  void Children(const std::string& from, const std::string& to, unsigned bits) {
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
      Chunks(old == old_children.end() ? std::string() : old->second,
             std::string(child.ref), bits - ChildBits(bits));
    });
  }

  const config_image& base_;
  const config_image& present_;
  std::vector<chunk_delta> deltas_;
  std::size_t bytes_ = 0;
  bool full_ = false;
};

std::string Apply(const std::string& base, const chunk_delta& delta) {
  auto lines = Minus(Lines(base), delta.removed);
  lines.insert(lines.end(), delta.added.begin(), delta.added.end());
  std::sort(lines.begin(), lines.end());
  std::string text;
  for (const auto& line : lines)
    text += line + '\n';
  return text;
}

}  // namespace

config_update MakeUpdate(const image_ptr& base, const config_image& present) {
  config_update update{present.root_text(), {}};
  if (!base)
    return update;
  update_maker maker(*base, present);
  maker.Trees(base->root().frame, present.root().frame);
  maker.Trees(base->root().blocks, present.root().blocks);

  update.deltas = maker.Take();
  return update;
}

// The result counts under its own digest, so a wrong delta can't pass for the
// chunk that it claims to be.
chunk_map ApplyUpdate(const image_ptr& base, const config_update& update) {
  chunk_map made;
  for (const auto& delta : update.deltas) {
    const auto from = base ? base->FindChunk(delta.base) : nullptr;
    if (!from && !delta.base.empty())
      continue;
    auto text = Apply(from ? from->text : std::string(), delta);
    auto digest = ContentDigest(text);
    made[digest] =
        chunk_ptr(new config_chunk(MakeRef(digest, 0), std::move(text)));
  }
  return made;
}

}  // namespace samphire
