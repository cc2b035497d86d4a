#ifndef ENTRY_OPERATOR_APPLY_ANSWER_H_
#define ENTRY_OPERATOR_APPLY_ANSWER_H_

#include <cstdint>
#include <string>

namespace samphire {

// What came of a change that was not refused.
struct apply_answer {
  // The version that is in force with the change; 0 while it is proposed only.
  std::uint64_t version = 0;
  // The id to witness when a second operator's consent is needed, else empty.
  std::string proposal;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_APPLY_ANSWER_H_
