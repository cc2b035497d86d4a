#ifndef GATEWAY_ENTRY_NODE_H_
#define GATEWAY_ENTRY_NODE_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "allowance/partition_manager.h"
#include "base/system_clock_source.h"
#include "config/entry_settings.h"
#include "distribution/config_follower.h"
#include "distribution/config_publisher.h"
#include "distribution/instance_follower.h"
#include "distribution/watcher_choice.h"
#include "front/front_server.h"
#include "gateway/deployment_manager.h"
#include "gateway/fleet_quarantine.h"
#include "gateway/fleet_view.h"
#include "gateway/gate_set.h"
#include "gateway/load_reporter.h"
#include "gateway/local_server.h"
#include "gateway/node_secrets.h"
#include "gateway/partition_distributor.h"
#include "gateway/peer_call_handler.h"
#include "gateway/peer_caller.h"
#include "gateway/peer_messenger.h"
#include "gateway/remote_server.h"
#include "gateway/request_router.h"
#include "gateway/service_handler.h"
#include "ledger/ledger_retry_thread.h"
#include "ledger/local_shard_router.h"
#include "membership/membership_service.h"
#include "peer/udp_peer_transport.h"
#include "store/http_object_store.h"

namespace samphire {

// One entry: creates and connects all parts of an entry process. Start and
// Drain are called by the main thread; the other public functions may be called
// from any thread once Start has returned.
class entry_node {
 public:
  entry_node(entry_settings settings, node_secrets secrets);
  // Stops all threads. Drain is to be called first, unless requests in progress
  // may be cut off.
  ~entry_node();

  // Starts the threads, then serves peers and callers.
  void Start();
  // Performs a planned stop. Look-ups stop naming this entry, and requests are
  // served for as long as look-up responses may be cached; after that new
  // requests are refused and running ones are completed. Blocks until done.
  void Drain();

  const entry_settings& settings() const { return settings_; }
  // Returns the JSON text of /v1/status.
  std::string StatusText();

  object_store& store() { return store_; }
  metrics& counters() { return metrics_; }
  const clock_source& clock() const { return clock_; }
  ledger& reservations() { return ledger_; }
  config_follower& configuration() { return follower_; }
  membership_service& membership() { return membership_; }
  node_state& state() { return state_; }
  gate_set& gates() { return gates_; }

 private:
  // Main function of the ticker thread.
  void Run(const std::stop_token& stop);
  // Lets the gates act on expiries, ramps and loans that are due.
  void FastTick();
  // Refreshes what depends on membership, the age of the configuration and the
  // clock, and publishes this entry's load by gossip.
  void SlowTick();
  // Asks one peer how recently its configuration was confirmed. Blocks.
  void RequestConfirmation();
  // Called by the thread of the config_follower.
  void OnImage(const image_ptr& image);
  // Called by the thread of the instance_follower.
  void OnInstances(const std::vector<instance_info>& instances);
  // Called by membership when a peer reports its configuration version by
  // gossip.
  void OnPeerVersion(std::uint64_t version, const std::string& peer);
  // Returns the text of /metrics.
  std::string CountersText();
  // Returns the quoted names of the declared drains, separated by commas.
  std::string DrainNames() const;
  // Sets the phase of both ports.
  void SetPhase(front_phase phase);
  // Returns loans and releases the slot partitions; blocks for a bounded time.
  void ReleasePartitions();
  // Passes the current members to the partition manager and to the loans.
  void UpdateMembers();
  ledger_options LedgerOptions() const;

  const entry_settings settings_;
  const node_secrets secrets_;
  const std::uint64_t incarnation_;
  const system_clock_source clock_;
  metrics metrics_;
  node_state state_;
  http_object_store store_;
  udp_peer_transport transport_;
  membership_service membership_;
  fleet_view fleet_;
  peer_messenger messenger_;
  gate_set gates_;
  fleet_quarantine quarantine_;
  deployment_manager deployment_manager_;
  partition_distributor partition_distributor_;
  partition_manager partitions_;
  connection_pool pool_;
  peer_signer signer_;
  peer_caller peer_caller_;
  config_follower follower_;
  instance_follower instances_;
  const local_shard_router shard_router_;
  ledger ledger_;
  std::unique_ptr<ledger_retry_thread> ledger_retry_;
  retry_budgets budgets_;
  local_server local_;
  remote_server remote_;
  request_router router_;
  load_reporter reporter_;
  service_context services_;
  peer_call_context peer_calls_;
  front_server caller_front_;
  front_server peer_front_;
  // Set by membership to request a SlowTick at once.
  std::atomic<bool> members_changed_ = false;
  std::mutex tick_lock_;
  std::condition_variable_any tick_wake_;
  std::jthread ticker_;
};

}  // namespace samphire

#endif  // GATEWAY_ENTRY_NODE_H_
