#ifndef ENTRY_OPERATOR_DRAIN_REMOVE_REQUEST_H_
#define ENTRY_OPERATOR_DRAIN_REMOVE_REQUEST_H_

#include <string>

namespace samphire {

// A drain to be taken out of the declaration in force.
struct drain_remove_request {
  std::string apply_id;
  std::string operator_name;
  std::string drain_name;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_DRAIN_REMOVE_REQUEST_H_
