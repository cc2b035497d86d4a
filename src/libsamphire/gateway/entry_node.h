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
#include "gateway/deployment_keeper.h"
#include "gateway/fleet_view.h"
#include "gateway/gate_set.h"
#include "gateway/guarded_quarantine.h"
#include "gateway/load_reporter.h"
#include "gateway/local_server.h"
#include "gateway/node_secrets.h"
#include "gateway/peer_call_handler.h"
#include "gateway/peer_caller.h"
#include "gateway/peer_messenger.h"
#include "gateway/peer_server.h"
#include "gateway/request_router.h"
#include "gateway/seat_share.h"
#include "gateway/service_handler.h"
#include "ledger/ledger_retry_thread.h"
#include "ledger/local_shard_router.h"
#include "membership/membership_service.h"
#include "peer/udp_peer_transport.h"
#include "store/http_object_store.h"

namespace samphire {

// One entry: everything that an entry process holds, wired together.
class entry_node {
 public:
  entry_node(entry_settings settings, node_secrets secrets);
  ~entry_node();

  void Start();
  // A planned stop: look-ups stop naming this entry, requests go on for the
  // look-ups' lifetime, then what runs is finished. Blocks until done.
  void Drain();

  const entry_settings& settings() const { return settings_; }
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
  void Run(const std::stop_token& stop);
  void FastTick();
  void SlowTick();
  void AskConfirmation();
  void OnImage(const image_ptr& image);
  void OnInstances(const std::vector<instance_info>& instances);
  void OnPeerVersion(std::uint64_t version, const std::string& peer);
  std::string CountersText();
  std::string DrainNames() const;
  void SetPhase(front_phase phase);
  void HandOver();
  void FollowMembers();
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
  guarded_quarantine quarantine_;
  deployment_keeper keeper_;
  seat_share shares_;
  partition_manager seats_;
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
  peer_server remote_;
  request_router router_;
  load_reporter reporter_;
  service_context services_;
  peer_call_context peer_calls_;
  front_server caller_front_;
  front_server peer_front_;
  std::atomic<bool> members_changed_ = false;
  std::mutex tick_lock_;
  std::condition_variable_any tick_wake_;
  std::jthread ticker_;
};

}  // namespace samphire

#endif  // GATEWAY_ENTRY_NODE_H_
