#ifndef GATEWAY_NODE_STATE_H_
#define GATEWAY_NODE_STATE_H_

#include <atomic>
#include <cstdint>

#include "gateway/deployment.h"
#include "steering/entry_directory.h"
#include "steering/shared_snapshot.h"

namespace samphire {

// What the request threads of one entry read without a lock.
struct node_state {
  // Null until a version is confirmed.
  shared_snapshot<deployment> deployments;
  // The entries that look-ups name.
  shared_snapshot<entry_directory> entries;
  // Set by a planned stop: look-ups leave this entry out, requests go on.
  std::atomic<bool> leaving = false;
  // Whether the configuration was confirmed lately enough to run what may not
  // be repeated.
  std::atomic<bool> fresh = true;
};

}  // namespace samphire

#endif  // GATEWAY_NODE_STATE_H_
