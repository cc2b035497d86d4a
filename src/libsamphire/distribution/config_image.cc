#include "distribution/config_image.h"

#include <utility>

#include "distribution/chunk_walk.h"
#include "distribution/declaration_lines.h"

namespace samphire {

config_image::config_image(std::string root_text,
                           config_root root,
                           frame_ptr frame,
                           chunk_map chunks)
    : root_text_(std::move(root_text)),
      digest_(ContentDigest(root_text_)),
      root_(std::move(root)),
      frame_(std::move(frame)),
      chunks_(std::move(chunks)) {}

chunk_ptr config_image::FindChunk(std::string_view ref) const {
  const auto found = chunks_.find(DigestOf(ref));
  return found == chunks_.end() ? nullptr : found->second;
}

void config_image::ForEachClientBlock(const block_visitor& visit) const {
  ForEachTreeLine(chunks_, root_.blocks, [&](std::string_view line) {
    // The loader has validated each line of a fetched chunk, so a failure is
    // not expected here.
    if (const auto block = ReadBlockLine(line))
      visit(block.value());
  });
}

declaration config_image::Assemble() const {
  auto whole = frame_->declaration;
  ForEachClientBlock(
      [&](const client_block& block) { whole.client_blocks.push_back(block); });
  return whole;
}

std::vector<config_change> config_image::History() const {
  std::vector<config_change> changes;
  const auto chunk = FindChunk(root_.history);
  ForEachLine(chunk ? std::string_view(chunk->text) : std::string_view(),
              [&](std::string_view line) {
                if (auto change = ReadHistoryLine(line))
                  changes.push_back(std::move(change.value()));
              });
  return changes;
}

}  // namespace samphire
