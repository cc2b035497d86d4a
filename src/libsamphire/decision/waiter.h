#ifndef DECISION_WAITER_H_
#define DECISION_WAITER_H_

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>

#include "config/priority.h"
#include "config/request_kind.h"
#include "decision/admission_request.h"

namespace samphire {

struct class_load;

// A request that waits for a slot. Owned by its wait_queue.
struct waiter
    : boost::intrusive_ref_counter<waiter, boost::thread_unsafe_counter> {
  admission_request request;
  class_load* load = nullptr;
  // A start after this time would be too late for the deadline.
  time_point latest_start;

  boost::intrusive::list_member_hook<> queue_hook;
  boost::intrusive::set_member_hook<> expiry_hook;
};

}  // namespace samphire

#endif  // DECISION_WAITER_H_
