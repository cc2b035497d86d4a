#ifndef ROUTING_ARRIVAL_CAUSE_H_
#define ROUTING_ARRIVAL_CAUSE_H_

#include "base/enum_names.h"

namespace samphire {

// Why a request was sent to a target.
enum class arrival_cause {
  // No target had received the request before.
  kFirst,
  // An earlier attempt failed after its target may have received the request.
  kRetry,
  // A connection kept from an earlier request ended instead of a response.
  kKeptConnectionLost,
};

inline constexpr enum_names<arrival_cause, 3> kArrivalCauseNames{{
    {arrival_cause::kFirst, "first"},
    {arrival_cause::kRetry, "retry"},
    {arrival_cause::kKeptConnectionLost, "kept-connection-lost"},
}};

}  // namespace samphire

#endif  // ROUTING_ARRIVAL_CAUSE_H_
