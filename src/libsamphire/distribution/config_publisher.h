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

// Brings changes into force: as a whole, by one conditional update of the
// root, or not at all. One change at a time in a process; others wait.
class config_publisher {
 public:
  config_publisher(object_store& store,
                   const clock_source& clock,
                   metrics& metrics,
                   publish_options options = DefaultPublishOptions());

  // Brings `declared`, read and checked before, into force. kWitnessNeeded:
  // proposed under its apply id, since it touches a witnessed class.
  result<apply_receipt> Apply(const declaration& declared,
                              const apply_request& request);
  // Each is an apply of what is in force with one drain changed; a drain of
  // the same name is replaced.
  result<apply_receipt> AddDrain(const drain& added,
                                 const apply_request& request);
  result<apply_receipt> RemoveDrain(const std::string& name,
                                    const apply_request& request);
  // Accepts a proposal; `operator_name` must not be its proposer.
  result<apply_receipt> Witness(const std::string& id,
                                const std::string& operator_name);

  // What the platform has in force; kNoConfiguration if nothing is yet.
  result<image_ptr> Present();
  result<std::vector<config_proposal>> Proposals();

  // An image that the entry holds anyway, so that the next change need not
  // load it.
  void OfferImage(image_ptr image);

 private:
  // The root object as read, with its image; null before the first apply.
  struct base {
    std::uint64_t store_version = 0;
    image_ptr image;

    std::uint64_t version() const { return image ? image->version() : 0; }
  };
  using frame_edit = std::function<result<void>(declaration& frame)>;

  result<base> ReadBase();
  result<image_ptr> Load(const std::string& root_text);
  result<apply_receipt> EditFrame(const apply_request& request,
                                  const frame_edit& edit);
  result<apply_receipt> Change(const base& from,
                               const declaration& wanted,
                               changed_lines lines,
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
  void KeepImage(const base& from, const built_change& built);
  void CollectOrphans();
  std::vector<config_change> CollectOld(const image_ptr& image);
  result<bool> Collect(const config_change& change);
  void DropProposal(const std::string& id);
  // The change of this apply id in the history of `image`, if it is there.
  static std::optional<config_change> FindChange(const image_ptr& image,
                                                 const std::string& apply_id);
  static error Conflict(const base& from);

  object_store& store_;
  const clock_source& clock_;
  metrics& metrics_;
  const publish_options options_;
  chunk_store chunks_;
  // Held over a whole change: its steps build on one another.
  std::mutex changing_;
  // Chunks of failed changes, to be removed when the platform can be reached.
  // Under `changing_`.
  std::vector<std::string> orphans_;
  std::mutex lock_;
  // The newest image known, to load others from. Under `lock_`.
  image_ptr known_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_PUBLISHER_H_
