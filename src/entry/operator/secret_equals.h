#ifndef ENTRY_OPERATOR_SECRET_EQUALS_H_
#define ENTRY_OPERATOR_SECRET_EQUALS_H_

#include <string_view>

namespace samphire {

// Returns whether two secrets are equal, in a time that depends only on the
// length of `given`. Always false if `expected` is empty.
bool SecretEquals(std::string_view expected, std::string_view given);

}  // namespace samphire

#endif  // ENTRY_OPERATOR_SECRET_EQUALS_H_
