#ifndef TARGET_TARGET_LIST_H_
#define TARGET_TARGET_LIST_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "worker_identity.h"

namespace samphire {

// Which targets of a declaration a process serves; an empty name takes all.
struct target_choice {
  std::string region;
  std::string service;
};

// The chosen targets of a declaration file.
result<std::vector<worker_identity>> ReadTargets(const std::string& path,
                                                 const target_choice& choice);

}  // namespace samphire

#endif  // TARGET_TARGET_LIST_H_
