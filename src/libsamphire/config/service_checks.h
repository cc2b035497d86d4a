#ifndef CONFIG_SERVICE_CHECKS_H_
#define CONFIG_SERVICE_CHECKS_H_

#include "base/result.h"
#include "config/declaration.h"
#include "config/declaration_names.h"

namespace samphire {

// Checks the services of a declaration with their classes and targets. Returns
// the first error with its JSON pointer.
result<void> CheckServices(const declaration& declared,
                           const declaration_names& names);

}  // namespace samphire

#endif  // CONFIG_SERVICE_CHECKS_H_
