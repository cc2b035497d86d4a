#ifndef DECISION_WAIT_QUEUE_H_
#define DECISION_WAIT_QUEUE_H_

#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/queue_order.h"
#include "decision/waiter.h"
#include "decision/waiter_lane.h"

namespace samphire {

// The requests that wait for a slot at one entry for one service. Each home
// region has a lane of its own, since a shift cap may hold back the requests of
// one region and must not block those of others; in addition all are sorted by
// their latest start. Not thread-safe.
class wait_queue {
 public:
  using waiter_visitor = std::function<bool(waiter&)>;

  explicit wait_queue(queue_order order) : order_(order) {}
  wait_queue(const wait_queue&) = delete;
  wait_queue& operator=(const wait_queue&) = delete;
  ~wait_queue();

  void Add(boost::intrusive_ptr<waiter> entry);
  // Removes and returns the request; null if it is not in the queue.
  boost::intrusive_ptr<waiter> Remove(std::uint64_t request_id);
  // Removes and returns one request that can no longer start in time; null if
  // there is none.
  boost::intrusive_ptr<waiter> RemoveExpired(time_point now);

  // Visits waiting requests in the order of service (higher priority first,
  // then the lane whose first request is the oldest) until `visit` returns
  // true; returns that request or null. At most kScanLimit (see
  // wait_queue.cc) requests of each list are visited.
  waiter* Find(request_kind kind, const waiter_visitor& visit) const;

  bool empty() const { return by_id_.empty(); }
  std::size_t size(request_kind kind) const;
  // Number of requests of this priority and above that wait in the lane of a
  // home region.
  std::size_t CountInLane(const std::string& home_region,
                          request_kind kind,
                          priority rank) const;
  const std::vector<std::unique_ptr<waiter_lane>>& lanes() const {
    return lanes_;
  }
  // The request of this kind that has waited longest, or null. Only the first
  // request of each list is considered, so with queue_order::kDeadline another
  // one may have waited longer.
  const waiter* oldest(request_kind kind) const;
  // The earliest latest start of any waiting request; none if the queue is
  // empty.
  std::optional<time_point> next_expiry() const;

 private:
  using expiry_hook =
      boost::intrusive::member_hook<waiter,
                                    boost::intrusive::set_member_hook<>,
                                    &waiter::expiry_hook>;
  struct earlier_start {
    bool operator()(const waiter& a, const waiter& b) const {
      return a.latest_start < b.latest_start;
    }
  };
  using expiry_set = boost::intrusive::
      multiset<waiter, expiry_hook, boost::intrusive::compare<earlier_start>>;

  // Returns the lane of the region, creating it if necessary.
  waiter_lane& LaneOf(const std::string& home_region);
  waiter_lane::waiter_list& ListOf(const waiter& entry);

  queue_order order_;
  std::vector<std::unique_ptr<waiter_lane>> lanes_;
  expiry_set by_expiry_;
  std::unordered_map<std::uint64_t, boost::intrusive_ptr<waiter>> by_id_;
};

}  // namespace samphire

#endif  // DECISION_WAIT_QUEUE_H_
