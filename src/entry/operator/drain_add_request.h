#ifndef ENTRY_OPERATOR_DRAIN_ADD_REQUEST_H_
#define ENTRY_OPERATOR_DRAIN_ADD_REQUEST_H_

#include <string>

#include "config/drain.h"

namespace samphire {

// A drain to be added to the declaration in force.
struct drain_add_request {
  std::string apply_id;
  std::string operator_name;
  samphire::drain drain;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_DRAIN_ADD_REQUEST_H_
