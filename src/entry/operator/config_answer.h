#ifndef ENTRY_OPERATOR_CONFIG_ANSWER_H_
#define ENTRY_OPERATOR_CONFIG_ANSWER_H_

#include <cstdint>
#include <string>

namespace samphire {

// The declaration in force.
struct config_answer {
  std::uint64_t version = 0;
  std::string apply_id;
  std::string operator_name;
  // As WriteDeclaration makes it.
  std::string text;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_CONFIG_ANSWER_H_
