#ifndef CONFIG_DECLARATION_WRITER_H_
#define CONFIG_DECLARATION_WRITER_H_

#include <string>

#include "config/declaration.h"

namespace samphire {

// Canonical JSON: equal declarations give equal bytes, and reading them gives
// an equal declaration.
std::string WriteDeclaration(const declaration& declared);

// One drain, as ReadDrain takes it.
std::string WriteDrain(const drain& declared);

}  // namespace samphire

#endif  // CONFIG_DECLARATION_WRITER_H_
