#ifndef CONFIG_DECLARATION_NAMES_H_
#define CONFIG_DECLARATION_NAMES_H_

#include <set>
#include <string>

#include "config/declaration.h"

namespace samphire {

// The names that a declaration defines, used to check its references.
struct declaration_names {
  std::set<std::string> regions;
  std::set<std::string> failure_domains;
  // Each in the form "SERVICE/TARGET".
  std::set<std::string> targets;

  explicit declaration_names(const declaration& declared);
};

}  // namespace samphire

#endif  // CONFIG_DECLARATION_NAMES_H_
