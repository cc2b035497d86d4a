#include "distribution/image_loader.h"

#include <algorithm>
#include <utility>

#include "distribution/chunk_walk.h"
#include "distribution/declaration_lines.h"
#include "distribution/line_tree.h"

namespace samphire {

namespace {

// Bounds the chunks in one request to a peer, or in one burst of reads from the
// platform.
constexpr std::size_t kMaxChunksPerFetch = 64;
// Bounds the depth of a tree; more bits can only come from a damaged root.
constexpr unsigned kMaxTreeBits = 32;

error Corrupt(std::string detail) {
  return MakeError(result_code::kStoreCorrupt, std::move(detail));
}

class image_loader {
 public:
  image_loader(const image_ptr& base,
               const chunk_map& offered,
               const chunk_fetch& fetch,
               history_use history)
      : base_(base), offered_(offered), fetch_(fetch), history_(history) {}

  result<image_ptr> Load(const std::string& root_text) {
    BOOST_OUTCOME_TRY(root, ReadRoot(root_text));
    BOOST_OUTCOME_TRYV(LoadTree(root.frame, false));
    BOOST_OUTCOME_TRYV(LoadTree(root.blocks, true));
    if (history_ == history_use::kLoad && !root.history.empty()) {
      BOOST_OUTCOME_TRYV(LoadTree({root.history, 0}, false));
    }
    BOOST_OUTCOME_TRY(frame, Frame(root.frame));
    return image_ptr(new config_image(root_text, std::move(root),
                                      std::move(frame), std::move(used_)));
  }

 private:
  result<void> LoadTree(const tree_ref& tree, bool holds_blocks) {
    if (tree.bits > kMaxTreeBits)
      return Corrupt("too many bits for a tree");
    std::vector<std::string> level{tree.ref};
    for (unsigned bits = tree.bits;; bits -= ChildBits(bits)) {
      BOOST_OUTCOME_TRYV(LoadLevel(level, bits == 0 && holds_blocks));
      if (bits == 0)
        return Success();
      BOOST_OUTCOME_TRY(next, Children(level));
      level = std::move(next);
    }
  }

  result<void> LoadLevel(const std::vector<std::string>& refs,
                         bool holds_blocks) {
    std::vector<std::string> missing;
    for (const auto& ref : refs) {
      if (!UseKnown(ref))
        missing.push_back(ref);
    }
    for (std::size_t at = 0; at < missing.size(); at += kMaxChunksPerFetch) {
      const auto end = std::min(missing.size(), at + kMaxChunksPerFetch);
      BOOST_OUTCOME_TRYV(
          Fetch({missing.begin() + static_cast<std::ptrdiff_t>(at),
                 missing.begin() + static_cast<std::ptrdiff_t>(end)},
                holds_blocks));
    }
    return Success();
  }

  bool UseKnown(const std::string& ref) {
    const auto digest = DigestOf(ref);
    chunk_ptr chunk = base_ ? base_->FindChunk(ref) : nullptr;
    if (const auto found = offered_.find(digest);
        !chunk && found != offered_.end())
      chunk = found->second;
    if (!chunk)
      return false;
    Use(ref, chunk->ref == ref ? chunk : MakeNamed(ref, chunk->text));
    return true;
  }

  // A response may be damaged, truncated or another chunk altogether; in force,
  // such a chunk would send callers to the wrong region without anybody
  // noticing. A chunk is therefore used only if its text matches its digest.
  result<void> Fetch(const std::vector<std::string>& refs, bool holds_blocks) {
    BOOST_OUTCOME_TRY(texts, fetch_(refs));
    if (texts.size() != refs.size())
      return Corrupt("fewer or more chunks than requested");
    for (std::size_t i = 0; i < refs.size(); ++i) {
      if (ContentDigest(texts[i]) != DigestOf(refs[i]))
        return Corrupt("digest mismatch in chunk " + refs[i]);
      if (holds_blocks) {
        BOOST_OUTCOME_TRYV(CheckBlocks(texts[i]));
      }
      Use(refs[i], MakeNamed(refs[i], std::move(texts[i])));
    }
    return Success();
  }

  static result<void> CheckBlocks(const std::string& text) {
    bool valid = true;
    ForEachLine(text, [&](std::string_view line) {
      valid = valid && ReadBlockLine(line).has_value();
    });
    if (!valid)
      return Corrupt("malformed line in a chunk of client blocks");
    return Success();
  }

  result<std::vector<std::string>> Children(
      const std::vector<std::string>& refs) const {
    std::vector<std::string> children;
    bool valid = true;
    for (const auto& ref : refs) {
      ForEachLine(used_.at(DigestOf(ref))->text, [&](std::string_view line) {
        child_ref child;
        valid = valid && ParseChild(line, child);
        if (valid)
          children.emplace_back(child.ref);
      });
    }
    if (!valid)
      return Corrupt("malformed line in an inner chunk");
    return children;
  }

  result<frame_ptr> Frame(const tree_ref& tree) const {
    if (base_ && DigestOf(base_->root().frame.ref) == DigestOf(tree.ref))
      return base_->shared_frame();
    std::vector<std::string_view> lines;
    ForEachTreeLine(used_, tree,
                    [&](std::string_view line) { lines.push_back(line); });
    BOOST_OUTCOME_TRY(read, ReadFrame(lines));
    return frame_ptr(new config_frame(std::move(read)));
  }

  static chunk_ptr MakeNamed(const std::string& ref, std::string text) {
    return {new config_chunk(ref, std::move(text))};
  }

  void Use(const std::string& ref, chunk_ptr chunk) {
    used_[DigestOf(ref)] = std::move(chunk);
  }

  const image_ptr& base_;
  const chunk_map& offered_;
  const chunk_fetch& fetch_;
  const history_use history_;
  chunk_map used_;
};

}  // namespace

result<image_ptr> LoadImage(const std::string& root_text,
                            const image_ptr& base,
                            const chunk_map& offered,
                            const chunk_fetch& fetch,
                            history_use history) {
  return image_loader(base, offered, fetch, history).Load(root_text);
}

}  // namespace samphire
