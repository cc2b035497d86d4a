#include "distribution/config_publisher.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/wall_time_text.h"
#include "distribution/declaration_lines.h"
#include "distribution/image_loader.h"
#include "distribution/root_commit.h"
#include "distribution/witness_check.h"

namespace samphire {

namespace {

// Reads the frame in the way in which every entry will have to read it.
// Otherwise an invalid declaration that a caller failed to validate would be
// accepted and then couldn't be loaded anywhere, and every later change to
// correct it would find no version to build on.
result<void> CheckReadable(const std::vector<keyed_line>& frame) {
  std::vector<std::string_view> lines;
  lines.reserve(frame.size());
  for (const auto& line : frame)
    lines.emplace_back(line.text);
  BOOST_OUTCOME_TRYV(ReadFrame(lines));
  return Success();
}

std::vector<std::string> RefsOf(const std::vector<chunk_ptr>& chunks) {
  std::vector<std::string> refs;
  refs.reserve(chunks.size());
  for (const auto& chunk : chunks)
    refs.push_back(chunk->ref);
  return refs;
}

}  // namespace

config_publisher::config_publisher(object_store& store,
                                   const clock_source& clock,
                                   metrics& metrics,
                                   publish_options options)
    : store_(store),
      clock_(clock),
      metrics_(metrics),
      options_(std::move(options)),
      chunks_(store, options_, metrics) {}

result<apply_receipt> config_publisher::Apply(const declaration& declared,
                                              const apply_request& request) {
  std::lock_guard guard(change_mutex_);
  BOOST_OUTCOME_TRY(from, ReadBase());
  return ApplyLines(from, declared,
                    {FrameLines(declared), BlockLines(declared.client_blocks)},
                    request);
}

result<apply_receipt> config_publisher::ApplyLines(
    const base& from,
    const declaration& wanted,
    declared_lines lines,
    const apply_request& request) {
  const auto content = ContentDigestOf(lines, from.image);
  if (const auto done = FindChange(from.image, request.apply_id)) {
    if (done->content == content)
      return apply_receipt{done->version};
    return MakeError(result_code::kVersionConflict,
                     "the apply id was already used for a different change");
  }
  if (request.expect && *request.expect != from.version())
    return VersionConflict(from);
  BOOST_OUTCOME_TRYV(CheckReadable(lines.frame));
  auto touches = WitnessedChanges(
      from.image ? from.image->frame() : declaration(), wanted);
  auto built = BuildTrees(std::move(lines), from.image, options_.nonce());
  // The first declaration needs no witness, since there is nothing to compare
  // it with.
  if (from.image && !touches.empty())
    return Propose(from, built, content, std::move(touches), request);
  return Commit(from, std::move(built),
                {from.version() + 1, request.apply_id, request.operator_name,
                 "", FormatWallTime(clock_.wall_now()), content, ""});
}

result<apply_receipt> config_publisher::Commit(const base& from,
                                               built_change built,
                                               config_change change) {
  CollectOrphans();
  const auto history = CollectOld(from.image);
  CompleteChange(built, change, history, from.image, options_.nonce());
  const auto committed = WriteChange(from, built);
  if (!committed) {
    // The change is certainly not in force, so nothing refers to the chunks
    // written for it. After an unknown outcome they stay, because the root may
    // refer to them.
    if (committed.error().code != result_code::kApplyOutcomeUnknown) {
      const auto refs = RefsOf(built.new_chunks);
      orphans_.insert(orphans_.end(), refs.begin(), refs.end());
      CollectOrphans();
    }
    metrics_.Count(
        "config_applies_refused_total",
        fmt::format("reason=\"{}\"", NameOf(committed.error().code)));
    return committed.error();
  }
  CacheWrittenImage(from, built);
  metrics_.Count("config_applies_total");
  Log(log_level::kInfo, "config-applied",
      {{"version", change.version},
       {"apply_id", change.apply_id},
       {"operator", change.operator_name},
       {"witness", change.witness},
       {"chunks", built.new_chunks.size()}});
  return apply_receipt{change.version};
}

// Caches the image of the change just written, so that the next change need not
// read it back.
void config_publisher::CacheWrittenImage(const base& from,
                                         const built_change& built) {
  chunk_map written;
  for (const auto* chunks : {&built.new_chunks, &built.proposed_chunks}) {
    for (const auto& chunk : *chunks)
      written[DigestOf(chunk->ref)] = chunk;
  }
  auto image = LoadImage(
      WriteRoot(built.root), from.image, written,
      [&](const std::vector<std::string>& refs) { return chunks_.Fetch(refs); },
      history_use::kLoad);
  if (image)
    CacheImage(std::move(image.value()));
}

result<void> config_publisher::WriteChange(const base& from,
                                           const built_change& built) {
  for (const auto& chunk : built.new_chunks) {
    // Whether the chunk was written doesn't matter: without a root that refers
    // to it, it has no effect.
    const auto written = chunks_.Write(*chunk);
    if (!written)
      return MakeError(result_code::kStoreUnreachable, written.error().detail);
  }
  const auto contains_change = [&](const std::string& text) -> result<bool> {
    BOOST_OUTCOME_TRY(image, Load(text));
    return FindChange(image, built.root.change.apply_id).has_value();
  };
  return CommitRoot(store_, WriteRoot(built.root), from.store_version,
                    contains_change, options_, metrics_);
}

void config_publisher::CollectOrphans() {
  if (!orphans_.empty() && chunks_.Remove(orphans_))
    orphans_.clear();
}

// Deletes the chunks that only versions older than the retained ones referred
// to, and returns the history without those changes. This relies on a root that
// is in force, and refs are never named again once dropped, so no concurrent
// change can need what is deleted here. It runs before the new root is written:
// if it ran afterwards, a process that fails in between would leave chunks that
// no record refers to.
std::vector<config_change> config_publisher::CollectOld(
    const image_ptr& image) {
  std::vector<config_change> kept;
  if (!image)
    return kept;
  for (const auto& change : image->History()) {
    const auto age = image->version() - change.version;
    if (age < options_.retained) {
      kept.push_back(change);
      continue;
    }
    const auto collected = CollectDropped(change);
    if (collected && collected.value())
      continue;
    // The platform has an outage; the next change tries again. The record is
    // finally discarded and its chunks are leaked, since a history that grew
    // without bound would in the end make every change fail.
    if (age < 2 * options_.retained)
      kept.push_back(change);
    else
      metrics_.Count("config_garbage_leaked_total");
  }
  return kept;
}

result<bool> config_publisher::CollectDropped(const config_change& change) {
  if (change.dropped.empty())
    return true;
  const auto listed = chunks_.Fetch({change.dropped});
  // Another publisher deleted these chunks and then failed to write its root.
  if (!listed && listed.error().code == result_code::kStoreNotFound)
    return true;
  if (!listed)
    return listed.error();
  BOOST_OUTCOME_TRYV(chunks_.Remove(ReadRefs(listed.value().front())));
  BOOST_OUTCOME_TRYV(chunks_.Remove({change.dropped}));
  return true;
}

result<image_ptr> config_publisher::Current() {
  BOOST_OUTCOME_TRY(from, ReadBase());
  if (!from.image)
    return MakeError(result_code::kNoConfiguration);
  return from.image;
}

result<config_publisher::base> config_publisher::ReadBase() {
  const auto root = store_.Get(kConfigRootKey);
  if (!root && root.error().code == result_code::kStoreNotFound)
    return base{};
  if (!root)
    return root.error();
  BOOST_OUTCOME_TRY(image, Load(root.value().value));
  return base{root.value().version, std::move(image)};
}

result<image_ptr> config_publisher::Load(const std::string& root_text) {
  image_ptr cached;
  {
    std::lock_guard guard(lock_);
    cached = cached_image_;
  }
  if (cached && cached->root_text() == root_text && cached->has_history())
    return cached;
  BOOST_OUTCOME_TRY(image, LoadImage(
                               root_text, cached, {},
                               [&](const std::vector<std::string>& refs) {
                                 return chunks_.Fetch(refs);
                               },
                               history_use::kLoad));
  CacheImage(image);
  return image;
}

void config_publisher::CacheImage(image_ptr image) {
  std::lock_guard guard(lock_);
  const bool newer =
      !cached_image_ || cached_image_->version() < image->version();
  const bool adds_history = cached_image_ &&
                            cached_image_->version() == image->version() &&
                            image->has_history();
  if (newer || adds_history)
    cached_image_ = std::move(image);
}

std::optional<config_change> config_publisher::FindChange(
    const image_ptr& image,
    const std::string& apply_id) {
  if (!image)
    return std::nullopt;
  for (auto& change : image->History()) {
    if (change.apply_id == apply_id)
      return std::move(change);
  }
  return std::nullopt;
}

error config_publisher::VersionConflict(const base& from) {
  return MakeError(result_code::kVersionConflict,
                   fmt::format("the version in force is {}", from.version()));
}

}  // namespace samphire
