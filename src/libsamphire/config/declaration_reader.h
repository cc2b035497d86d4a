#ifndef CONFIG_DECLARATION_READER_H_
#define CONFIG_DECLARATION_READER_H_

#include <string_view>

#include "base/clock_source.h"
#include "base/result.h"
#include "config/declaration.h"

namespace samphire {

// Reads what an operator wants to bring into force and checks it as a whole.
// Drains that are equally in `in_force` may have passed.
result<declaration> ReadDeclaration(std::string_view text,
                                    wall_time now,
                                    const declaration* in_force = nullptr);

// Reads a declaration that was accepted before: time goes on, so its drains
// may have passed since.
result<declaration> ReadAcceptedDeclaration(std::string_view text);

// Reads one drain in the form that declarations hold it, without looking at
// what it names.
result<drain> ReadDrain(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_READER_H_
