#ifndef DECISION_WAIT_QUEUE_H_
#define DECISION_WAIT_QUEUE_H_

#include <array>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "decision/queue_order.h"
#include "decision/waiter.h"

namespace samphire {

// The requests that wait at one entry for one service: a list for each kind
// and priority, and all of them by the time their start would be too late.
class wait_queue {
 public:
  explicit wait_queue(queue_order order) : order_(order) {}
  wait_queue(const wait_queue&) = delete;
  wait_queue& operator=(const wait_queue&) = delete;
  ~wait_queue();

  void Add(boost::intrusive_ptr<waiter> entry);
  // Takes the waiter out; null if it is not here.
  boost::intrusive_ptr<waiter> Remove(std::uint64_t request_id);
  // Takes out one waiter that can no longer start in time.
  boost::intrusive_ptr<waiter> RemoveExpired(time_point now);

  // The first waiters in the order of service, until `visit` returns true;
  // returns that waiter. At most kScanLimit of each list are tried.
  waiter* Find(request_kind kind, const std::function<bool(waiter&)>& visit);

  // Visits the first waiters in the order of service, at most `most`.
  void ForFirst(request_kind kind,
                std::size_t most,
                const std::function<void(const waiter&)>& visit) const;

  bool empty() const { return by_id_.empty(); }
  std::size_t size(request_kind kind) const;
  // How many are served before a newcomer of this priority.
  std::size_t ahead(request_kind kind, priority rank) const;
  // The longest waiting of this kind, or null.
  const waiter* oldest(request_kind kind) const;
  std::optional<time_point> next_expiry() const;

 private:
  using list_hook =
      boost::intrusive::member_hook<waiter,
                                    boost::intrusive::list_member_hook<>,
                                    &waiter::queue_hook>;
  using expiry_hook =
      boost::intrusive::member_hook<waiter,
                                    boost::intrusive::set_member_hook<>,
                                    &waiter::expiry_hook>;
  struct earlier_start {
    bool operator()(const waiter& a, const waiter& b) const {
      return a.latest_start < b.latest_start;
    }
  };
  using waiter_list = boost::intrusive::list<waiter, list_hook>;
  using expiry_set = boost::intrusive::
      multiset<waiter, expiry_hook, boost::intrusive::compare<earlier_start>>;

  static constexpr std::size_t kKinds = 2;
  static constexpr std::size_t kPriorities = 3;

  waiter_list& ListOf(const waiter& entry);

  queue_order order_;
  std::array<std::array<waiter_list, kPriorities>, kKinds> lists_;
  expiry_set by_expiry_;
  std::unordered_map<std::uint64_t, boost::intrusive_ptr<waiter>> by_id_;
};

}  // namespace samphire

#endif  // DECISION_WAIT_QUEUE_H_
