#ifndef ENTRY_OPERATOR_SECRET_EQUALS_H_
#define ENTRY_OPERATOR_SECRET_EQUALS_H_

#include <string_view>

namespace samphire {

// Whether two secrets are equal, in a time that tells nothing of either but
// the length of `given`.
bool SecretEquals(std::string_view expected, std::string_view given);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_SECRET_EQUALS_H_
