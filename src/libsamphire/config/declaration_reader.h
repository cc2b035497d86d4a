#ifndef CONFIG_DECLARATION_READER_H_
#define CONFIG_DECLARATION_READER_H_

#include <string_view>

#include "base/clock_source.h"
#include "base/result.h"
#include "config/declaration.h"

namespace samphire {

// Reads and checks a declaration that an operator submits. Drains must have a
// deadline after `now`, unless `active`, the declaration in effect (nullptr if
// there is none), contains them unchanged. The error holds the JSON pointer or
// the line and column of the first fault. Thread-safe, as are all functions
// here.
result<declaration> ReadDeclaration(std::string_view text,
                                    wall_time now,
                                    const declaration* active = nullptr);

// Reads and checks a declaration that was accepted earlier. Its drains may have
// expired since then.
result<declaration> ReadAcceptedDeclaration(std::string_view text);

// Reads a single drain in the format used in declarations. Does not check that
// its subject is declared.
result<drain> ReadDrain(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_READER_H_
