#ifndef DISTRIBUTION_CONFIG_PUBLISHER_H_
#define DISTRIBUTION_CONFIG_PUBLISHER_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "distribution/apply_request.h"
#include "distribution/change_builder.h"
#include "distribution/chunk_store.h"
#include "distribution/config_image.h"
#include "distribution/config_proposal.h"
#include "distribution/publish_options.h"

namespace samphire {

// Brings configuration changes into force, each as a whole or not at all, by
// one conditional write of the root object. Thread-safe; calls block for the
// time of the store's calls and retries. Only one change at a time is processed
// per publisher, further ones wait. Besides the errors named below, errors of
// the store are returned, and kApplyOutcomeUnknown if it couldn't be determined
// whether a change is in force.
class config_publisher {
 public:
  // `store`, `clock` and `metrics` must outlive this object.
  config_publisher(object_store& store,
                   const clock_source& clock,
                   metrics& metrics,
                   publish_options options = DefaultPublishOptions());

  // Brings `declared`, which was parsed and validated before, into force.
  // Returns kWitnessNeeded if the change affects a witnessed class and was
  // therefore only proposed under its apply id, and kVersionConflict if another
  // change was accepted first, if another version than request.expect is in
  // force, or if the apply id was used for a different change.
  result<apply_receipt> Apply(const declaration& declared,
                              const apply_request& request);
  // Apply the declaration in force with one drain changed; AddDrain replaces a
  // drain of the same name, and RemoveDrain returns kUnknownDrain if there is
  // none. Both return kNoConfiguration if nothing was applied yet, the errors
  // of CheckDeclaration and CheckNewDrains, and those of Apply.
  result<apply_receipt> AddDrain(const drain& added,
                                 const apply_request& request);
  result<apply_receipt> RemoveDrain(const std::string& name,
                                    const apply_request& request);
  // Accepts the proposal `id`. `operator_name` must not be its proposer
  // (kWitnessIsProposer). Returns kUnknownProposal if there is none, and
  // kVersionConflict if it was built on an older version.
  result<apply_receipt> Witness(const std::string& id,
                                const std::string& operator_name);

  // Returns the image in force at the platform; kNoConfiguration if nothing was
  // applied yet.
  result<image_ptr> Current();
  // Returns the proposals that wait for a witness.
  result<std::vector<config_proposal>> Proposals();

  // Offers an image that the entry has loaded anyway, so that the next change
  // need not load it from the platform.
  void CacheImage(image_ptr image);

 private:
  // The root object as read, with its image; null before the first apply.
  struct base {
    // Version of the root object in the store, for its conditional write.
    std::uint64_t store_version = 0;
    image_ptr image;

    std::uint64_t version() const { return image ? image->version() : 0; }
  };
  using frame_edit = std::function<result<void>(declaration& frame)>;

  result<base> ReadBase();
  result<image_ptr> Load(const std::string& root_text);
  result<apply_receipt> EditFrame(const apply_request& request,
                                  const frame_edit& edit);
  result<apply_receipt> ApplyLines(const base& from,
                                   const declaration& wanted,
                                   declared_lines lines,
                                   const apply_request& request);
  result<apply_receipt> Propose(const base& from,
                                const built_change& built,
                                const std::string& content,
                                std::vector<std::string> touches,
                                const apply_request& request);
  result<apply_receipt> AcceptProposal(const base& from,
                                       const config_proposal& proposal,
                                       const std::string& witness);
  result<apply_receipt> Commit(const base& from,
                               built_change built,
                               config_change change);
  result<void> WriteChange(const base& from, const built_change& built);
  void CacheWrittenImage(const base& from, const built_change& built);
  void CollectOrphans();
  std::vector<config_change> CollectOld(const image_ptr& image);
  result<bool> CollectDropped(const config_change& change);
  void DeleteProposal(const std::string& id);
  // Returns the change with this apply id from the history of `image` (may be
  // null), if it is there.
  static std::optional<config_change> FindChange(const image_ptr& image,
                                                 const std::string& apply_id);
  static error VersionConflict(const base& from);

  object_store& store_;
  const clock_source& clock_;
  metrics& metrics_;
  const publish_options options_;
  chunk_store chunks_;
  // Held for the whole of a change, since its steps build on one another.
  std::mutex change_mutex_;
  // Chunks of failed changes, to be deleted when the platform can be reached.
  // Protected by `change_mutex_`.
  std::vector<std::string> orphans_;
  std::mutex lock_;
  // The newest image that was loaded, written or offered; others are loaded
  // relative to it. Protected by `lock_`.
  image_ptr cached_image_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_PUBLISHER_H_
