#ifndef GATEWAY_NODE_STATE_H_
#define GATEWAY_NODE_STATE_H_

#include <atomic>
#include <cstdint>

#include "gateway/deployment.h"
#include "steering/entry_directory.h"
#include "steering/shared_snapshot.h"

namespace samphire {

// State of one entry that its request threads read without a lock.
struct node_state {
  // The configuration in force; null until a version is confirmed.
  shared_snapshot<deployment> deployments;
  // The entries that look-ups name; null until the first refresh.
  shared_snapshot<entry_directory> entries;
  // Set by a planned stop: look-ups no longer name this entry, requests are
  // still served.
  std::atomic<bool> leaving = false;
  // Whether the configuration was confirmed recently enough to run requests
  // that may not be repeated.
  std::atomic<bool> fresh = true;
};

}  // namespace samphire

#endif  // GATEWAY_NODE_STATE_H_
