#ifndef TRAFFIC_PLACING_REQUEST_PLACER_H_
#define TRAFFIC_PLACING_REQUEST_PLACER_H_

#include <optional>
#include <string>
#include <vector>

#include "routing/placement_criteria.h"
#include "traffic/placing/placed_request.h"
#include "traffic/placing/placement_client.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Chooses the targets for the attempts of one request. Uses the decision of the
// entry that owns the request's key if that entry responds in time, and
// otherwise decides from this entry's own state. Not thread-safe: each request
// has a placer of its own, used by the thread that handles the request.
class request_placer {
 public:
  request_placer(traffic_context& context,
                 const traffic_request& request,
                 std::string service);

  // Chooses the target for the next attempt among those that are not excluded,
  // and takes a permit if the target has a rate limit. Blocks for up to 50 ms
  // until the key's owner responds, and as target_limiter::Take() for each
  // target whose permits are used up; there are at most four. A chosen target
  // counts the attempt as load until OnAttemptEnd(). This entry must have a
  // list of targets.
  placed_request Place();
  // Reports the end of an attempt to the entry that placed it. Returns for how
  // long the target is ejected as a result; 0 if it is not ejected or the key's
  // owner decides on that.
  milliseconds OnAttemptEnd(const placed_request& placed,
                            const attempt_end& end);
  // Places no attempts of this entry at the target for a moment. Other entries
  // may use it.
  void LeaveAlone(const live_target& target);
  // Leaves the target with this id out of further attempts.
  void Exclude(const std::string& target);

  // What the choice depends on, as of the last Place().
  const placement_criteria& criteria() const { return criteria_; }
  const std::string& service() const { return service_; }

 private:
  placed_request PlaceOnce();
  // Places the attempt at a target that has named no rate limit.
  placed_request PlaceAtUnlimited();
  // Places no attempts of this entry at the target until `until`.
  void Pause(const live_target& target, time_point until);
  // Returns nothing if this entry must decide.
  std::optional<placed_request> PlaceByOwner(const target_set& targets,
                                             const entry_list& entries);
  placed_request PlaceLocally(const target_set& targets,
                              const entry_list& entries);
  remote_placement_request BuildRequest(const target_set& targets) const;
  // Returns the ids of the targets that the owner must not choose.
  std::vector<std::string> TargetsToExclude(const target_set& targets) const;
  // Returns nothing if the owner left the decision to this entry or chose a
  // target that is not open or is paused here.
  std::optional<placement_result> PlacementFrom(
      const remote_placement_response& response,
      const target_set& targets) const;
  const traffic_service* ServiceConfig() const;

  traffic_context& context_;
  const traffic_request& request_;
  const std::string service_;
  placement_criteria criteria_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_REQUEST_PLACER_H_
