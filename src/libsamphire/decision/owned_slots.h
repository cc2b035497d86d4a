#ifndef DECISION_OWNED_SLOTS_H_
#define DECISION_OWNED_SLOTS_H_

#include <cstdint>
#include <string>

namespace samphire {

// How many slots of a target this entry owns through its slot partitions.
struct owned_slots {
  std::string target;
  std::uint32_t count = 0;
};

}  // namespace samphire

#endif  // DECISION_OWNED_SLOTS_H_
