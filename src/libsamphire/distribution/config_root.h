#ifndef DISTRIBUTION_CONFIG_ROOT_H_
#define DISTRIBUTION_CONFIG_ROOT_H_

#include <string>

#include "base/result.h"
#include "distribution/config_change.h"
#include "distribution/tree_ref.h"

namespace samphire {

inline const std::string kConfigRootKey = "config/root";

// What `config/root` holds: the version in force and where its parts are.
struct config_root {
  config_change change;
  tree_ref frame;
  tree_ref blocks;
  // The chunk of the changes that led here, this one included.
  std::string history;
};

std::string WriteRoot(const config_root& root);
// kStoreCorrupt if `text` is not a root.
result<config_root> ReadRoot(const std::string& text);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_ROOT_H_
