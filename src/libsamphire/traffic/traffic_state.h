#ifndef TRAFFIC_TRAFFIC_STATE_H_
#define TRAFFIC_TRAFFIC_STATE_H_

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "routing/target_set.h"
#include "routing/traffic_manifest.h"
#include "steering/shared_snapshot.h"
#include "traffic/entry_stop.h"
#include "traffic/following/entry_list.h"
#include "traffic/following/position_record.h"
#include "traffic/traffic_bounds.h"

namespace samphire {

// An entry's view of its configuration, targets and members, as request threads
// read it. Thread-safe. Readers get immutable snapshots without waiting for
// writers.
class traffic_state {
 public:
  // Replaces the manifest unless its version is not above the current one: an
  // entry never returns to an older configuration while it runs. Returns
  // whether the manifest was replaced.
  bool SetManifest(const manifest_ptr& manifest);
  // Replaces the list of all targets, including those in evacuated domains, by
  // the one at the position `listing` of the store.
  void SetTargets(std::vector<live_target> targets, store_cursor listing = {});
  // Sets the failure domains whose targets get no new requests.
  void SetEvacuatedDomains(std::set<std::string> domains);

  // Null until a manifest is set.
  manifest_ptr manifest() const { return manifest_.Get(); }
  // Null until both targets and evacuated domains are set.
  target_set_ptr targets() const { return targets_.Get(); }
  const shared_snapshot<entry_list>& entries() const { return entries_; }
  shared_snapshot<entry_list>& entries() { return entries_; }
  shared_snapshot<traffic_bounds>::pointer bounds() const {
    return bounds_.Get();
  }
  void SetBounds(const traffic_bounds& bounds);

  // Up to which position the evacuated domains are known.
  position_record evacuations_position;
  // The planned stop of this entry, once it has begun.
  entry_stop stop;
  // Number of requests that this entry is passing on to targets for peers.
  std::atomic<int> relayed_requests = 0;

  // Whether this entry can serve requests: it has a manifest, targets and
  // evacuated domains, and is not leaving.
  bool IsReady() const;

 private:
  // Publishes a new target_set. The caller must hold lock_.
  void PublishTargets();

  // Serializes writers.
  std::mutex lock_;
  bool targets_known_ = false;
  bool evacuations_known_ = false;
  std::vector<live_target> listed_targets_;
  store_cursor listing_;
  std::set<std::string> evacuated_domains_;
  shared_snapshot<traffic_manifest> manifest_;
  shared_snapshot<target_set> targets_;
  shared_snapshot<traffic_bounds> bounds_{
      boost::intrusive_ptr<const traffic_bounds>(new traffic_bounds)};
  shared_snapshot<entry_list> entries_{
      boost::intrusive_ptr<const entry_list>(new entry_list)};
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_STATE_H_
