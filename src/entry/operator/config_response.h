#ifndef ENTRY_OPERATOR_CONFIG_RESPONSE_H_
#define ENTRY_OPERATOR_CONFIG_RESPONSE_H_

#include <cstdint>
#include <string>

namespace samphire {

// The declaration in force, with its version and the change that created it.
struct config_response {
  std::uint64_t version = 0;
  std::string apply_id;
  std::string operator_name;
  // The declaration as JSON, in the form that WriteDeclaration produces.
  std::string text;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_CONFIG_RESPONSE_H_
