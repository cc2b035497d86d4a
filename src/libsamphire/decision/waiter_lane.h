#ifndef DECISION_WAITER_LANE_H_
#define DECISION_WAITER_LANE_H_

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <string>

#include "decision/waiter.h"

namespace samphire {

// The waiting requests of one home region: a list for each kind and priority.
struct waiter_lane {
  using waiter_list = boost::intrusive::list<
      waiter,
      boost::intrusive::member_hook<waiter,
                                    boost::intrusive::list_member_hook<>,
                                    &waiter::queue_hook>>;

  static constexpr std::size_t kKinds = 2;
  static constexpr std::size_t kPriorities = 3;

  waiter_list& Of(request_kind kind, priority rank) {
    return lists[static_cast<std::size_t>(kind)]
                [static_cast<std::size_t>(rank)];
  }
  const waiter_list& Of(request_kind kind, priority rank) const {
    return lists[static_cast<std::size_t>(kind)]
                [static_cast<std::size_t>(rank)];
  }

  std::string home_region;
  std::array<std::array<waiter_list, kPriorities>, kKinds> lists;
};

}  // namespace samphire

#endif  // DECISION_WAITER_LANE_H_
