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
#include "traffic/entry_list.h"
#include "traffic/traffic_bounds.h"

namespace samphire {

// What an entry believes of its surroundings, as its requests read it.
class traffic_state {
 public:
  // A version that is not above the present one is passed over: what an entry
  // has acted on never goes back while it runs. False if it was.
  bool SetManifest(const manifest_ptr& manifest);
  void SetTargets(std::vector<live_target> targets);
  void SetEvacuatedDomains(std::set<std::string> domains);

  manifest_ptr manifest() const { return manifest_.Get(); }
  // Null until the targets are known.
  target_set_ptr targets() const { return targets_.Get(); }
  const shared_snapshot<entry_list>& entries() const { return entries_; }
  shared_snapshot<entry_list>& entries() { return entries_; }
  shared_snapshot<traffic_bounds>::pointer bounds() const {
    return bounds_.Get();
  }
  void SetBounds(const traffic_bounds& bounds);

  std::atomic<bool> leaving = false;

  // Whether requests can be served.
  bool IsReady() const;

 private:
  void Publish();

  std::mutex lock_;
  bool targets_known_ = false;
  std::vector<live_target> listed_;
  std::set<std::string> evacuated_;
  shared_snapshot<traffic_manifest> manifest_;
  shared_snapshot<target_set> targets_;
  shared_snapshot<traffic_bounds> bounds_{
      boost::intrusive_ptr<const traffic_bounds>(new traffic_bounds)};
  shared_snapshot<entry_list> entries_{
      boost::intrusive_ptr<const entry_list>(new entry_list)};
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_STATE_H_
