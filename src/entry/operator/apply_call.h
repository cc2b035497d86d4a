#ifndef ENTRY_OPERATOR_APPLY_CALL_H_
#define ENTRY_OPERATOR_APPLY_CALL_H_

#include <cstdint>
#include <optional>
#include <string>

namespace samphire {

// An operator's wish that a declaration come into force.
struct apply_call {
  // Made by the caller, so that a lost answer can be settled by it.
  std::string apply_id;
  std::string operator_name;
  // The version that must be in force, if any will not do.
  std::optional<std::uint64_t> expect;
  std::string text;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_APPLY_CALL_H_
