#ifndef TRAFFIC_REQUEST_PLACER_H_
#define TRAFFIC_REQUEST_PLACER_H_

#include <optional>
#include <string>

#include "routing/placement_criteria.h"
#include "traffic/placed_request.h"
#include "traffic/placing_client.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_request.h"

namespace samphire {

// Decides for one request where its attempts go: by the word of the entry that
// owns its key if that answers in time, else by what this entry knows.
class request_placer {
 public:
  request_placer(traffic_context& context,
                 const traffic_request& request,
                 std::string service);

  // Of the next attempt; targets that were tried are left out.
  placed_request Place();
  // Returns for how long the target is left alone now, as far as known here.
  milliseconds Ended(const placed_request& placed, const attempt_end& end);
  void Exclude(const std::string& target);

  const placement_criteria& wish() const { return wish_; }
  const std::string& service() const { return service_; }

 private:
  // Nothing if this entry is to decide.
  std::optional<placed_request> PlaceByOwner(const target_set& targets,
                                             const entry_list& entries);
  placed_request PlaceHere(const target_set& targets,
                           const entry_list& entries);
  placing_ask Ask() const;
  // Nothing if the owner's choice can't be used here.
  std::optional<placement_result> Read(const placing_answer& answer,
                                       const target_set& targets) const;
  const traffic_service* Service() const;

  traffic_context& context_;
  const traffic_request& request_;
  const std::string service_;
  placement_criteria wish_;
};

}  // namespace samphire

#endif  // TRAFFIC_REQUEST_PLACER_H_
