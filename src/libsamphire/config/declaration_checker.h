#ifndef CONFIG_DECLARATION_CHECKER_H_
#define CONFIG_DECLARATION_CHECKER_H_

#include "base/clock_source.h"
#include "base/result.h"
#include "config/declaration.h"

namespace samphire {

// Checks that all names a declaration refers to are declared and that its
// values are consistent. The error holds the JSON pointer of the first invalid
// value.
result<void> CheckDeclaration(const declaration& declared);

// Checks that the deadline of every drain is after `now`, except for drains
// that `active`, the declaration in effect, contains unchanged. `active` may be
// nullptr. Fails with kDrainInPast.
result<void> CheckNewDrains(const declaration& declared,
                            wall_time now,
                            const declaration* active);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_CHECKER_H_
