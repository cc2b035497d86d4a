#ifndef CONFIG_DECLARATION_WRITER_H_
#define CONFIG_DECLARATION_WRITER_H_

#include <string>

#include "config/declaration.h"

namespace samphire {

// Returns a declaration as canonical JSON: equal declarations yield identical
// bytes, and reading these yields an equal declaration. Thread-safe.
std::string WriteDeclaration(const declaration& declared);

// Returns a single drain in the format that ReadDrain() accepts.
std::string WriteDrain(const drain& declared);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_WRITER_H_
