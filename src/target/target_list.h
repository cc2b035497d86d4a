#ifndef TARGET_TARGET_LIST_H_
#define TARGET_TARGET_LIST_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "worker_identity.h"

namespace samphire {

// Selects the targets of a declaration that a process simulates. An empty name
// matches all.
struct target_filter {
  std::string region;
  std::string service;
};

// Returns the targets of a declaration file that match `filter`. Fails if the
// file can't be read or is not a valid declaration, and with
// kServiceWithoutTargets if no target matches.
result<std::vector<worker_identity>> ReadTargets(const std::string& path,
                                                 const target_filter& filter);

}  // namespace samphire

#endif  // TARGET_TARGET_LIST_H_
