#ifndef CONFIG_DECLARATION_CHECKER_H_
#define CONFIG_DECLARATION_CHECKER_H_

#include "base/clock_source.h"
#include "base/result.h"
#include "config/declaration.h"

namespace samphire {

// Whether what the declaration names exists and makes sense together. The
// error holds the JSON pointer of the first thing that doesn't.
result<void> CheckDeclaration(const declaration& declared);

// Whether every drain that is not equally in `in_force` still lies ahead.
result<void> CheckNewDrains(const declaration& declared,
                            wall_time now,
                            const declaration* in_force);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_CHECKER_H_
