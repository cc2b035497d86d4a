#ifndef DISTRIBUTION_CONFIG_ROOT_H_
#define DISTRIBUTION_CONFIG_ROOT_H_

#include <string>

#include "base/result.h"
#include "distribution/config_change.h"
#include "distribution/tree_ref.h"

namespace samphire {

// Object key of the root at the platform.
inline const std::string kConfigRootKey = "config/root";

// Content of the object `config/root`: the version in force and refs to its
// parts.
struct config_root {
  config_change change;
  // The trees of everything declared but the client blocks, and of the client
  // blocks.
  tree_ref frame;
  tree_ref blocks;
  // Ref of the chunk with the retained history, this change included.
  std::string history;
};

std::string WriteRoot(const config_root& root);
// Returns kStoreCorrupt if `text` isn't a root.
result<config_root> ReadRoot(const std::string& text);

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_ROOT_H_
