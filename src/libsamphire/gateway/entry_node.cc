#include "gateway/entry_node.h"

#include <random>
#include <utility>

#include "base/log.h"
#include "gateway/caller_handler_factory.h"
#include "gateway/peer_handler_factory.h"
#include "membership/new_incarnation.h"

namespace samphire {

namespace {

// How often a stopping entry checks whether work is still in progress.
constexpr milliseconds kDrainPollInterval{20};
// Bounds how long a stopping entry waits for its slot partitions to be
// released.
constexpr milliseconds kPartitionReleaseTimeout{5000};
// Bounds how long a stopping entry waits for callers to close connections on
// which their last response was sent.
constexpr milliseconds kCloseTimeout{500};
// How long other entries may still name this entry in look-ups after it
// announced that it is leaving: the time that gossip takes to reach all of
// them.
constexpr milliseconds kLeavingPropagationTime{1500};

// Returns a random number in [0, 1), which spreads the periodic reads of the
// entries over time.
double Jitter() {
  std::random_device device;
  return std::uniform_real_distribution<double>(0, 1)(device);
}

follower_limits FollowerLimits() {
  follower_limits limits;
  limits.jitter = Jitter();
  return limits;
}

partition_timing PartitionTiming() {
  partition_timing limits;
  limits.jitter = Jitter();
  return limits;
}

member SelfMember(const entry_settings& settings, std::uint64_t incarnation) {
  member self;
  self.name = settings.instance;
  self.region = settings.region;
  self.failure_domain = settings.failure_domain;
  self.caller_address = settings.caller_address;
  self.operator_address = settings.operator_address;
  self.peer_address = settings.peer_address;
  self.incarnation = incarnation;
  return self;
}

front_limits FrontLimits(const entry_settings& settings) {
  return {.max_connections = settings.max_connections,
          .header_timeout = settings.header_timeout,
          .idle_timeout = settings.idle_timeout};
}

}  // namespace

entry_node::entry_node(entry_settings settings, node_secrets secrets)
    : settings_(std::move(settings)),
      secrets_(std::move(secrets)),
      incarnation_(NewIncarnation()),
      store_({.addresses = settings_.platform_addresses}, clock_, metrics_),
      transport_(settings_.peer_address,
                 settings_.instance,
                 incarnation_,
                 secrets_.keys,
                 clock_,
                 metrics_),
      membership_(SelfMember(settings_, incarnation_),
                  membership_options{},
                  transport_,
                  clock_,
                  metrics_,
                  incarnation_),
      fleet_(settings_.region, state_),
      messenger_(transport_, fleet_, metrics_),
      gates_(
          settings_.region,
          incarnation_,
          clock_,
          [this](const loan_outbox& messages) { messenger_.Send(messages); }),
      quarantine_(
          transport_,
          [this] { return fleet_.NewsPeers(); },
          clock_,
          metrics_),
      deployment_manager_(state_, gates_, clock_, metrics_),
      partition_distributor_(settings_.region, gates_, clock_, metrics_),
      partitions_(store_,
                  clock_,
                  metrics_,
                  settings_.region,
                  partition_manager_state(settings_.instance,
                                          settings_.region,
                                          incarnation_,
                                          PartitionTiming(),
                                          clock_.now()),
                  partition_distributor_),
      signer_(secrets_.keys, {settings_.instance, incarnation_}, clock_),
      peer_caller_(pool_, signer_, [this] { return fleet_.OwnRegionPeers(); }),
      follower_(store_,
                peer_caller_,
                clock_,
                metrics_,
                FollowerLimits(),
                [this](const image_ptr& image) { OnImage(image); }),
      instances_(store_,
                 peer_caller_,
                 metrics_,
                 FollowerLimits(),
                 [this](const std::vector<instance_info>& instances) {
                   OnInstances(instances);
                 }),
      ledger_(store_, shard_router_, clock_, metrics_, LedgerOptions()),
      local_(gates_, ledger_, quarantine_, budgets_, pool_, clock_, metrics_),
      remote_(fleet_, signer_, budgets_, pool_, clock_, metrics_),
      router_(settings_.region, local_, remote_, fleet_, clock_, metrics_),
      reporter_(gates_, metrics_),
      services_{state_,
                router_,
                signer_,
                clock_,
                metrics_,
                FrontLimits(settings_),
                settings_.peer_address},
      peer_calls_{follower_,
                  instances_,
                  signer_,
                  metrics_,
                  FrontLimits(settings_),
                  settings_.peer_address},
      caller_front_(settings_.caller_address,
                    new caller_handler_factory(
                        services_,
                        [this] { return StatusText(); },
                        [this] { return CountersText(); }),
                    FrontLimits(settings_),
                    metrics_),
      peer_front_(settings_.peer_address,
                  new peer_handler_factory(services_, peer_calls_),
                  FrontLimits(settings_),
                  metrics_) {
  messenger_.RegisterHandlers(gates_);
  membership_.on_config_version =
      [this](std::uint64_t version, std::uint64_t /*digest*/,
             const std::string& peer) { OnPeerVersion(version, peer); };
  // A member that joins or leaves is handled at once: it shares the partitions
  // and loans, must be notified of crashes, and is named or no longer named by
  // look-ups.
  membership_.on_member_changed = [this](const member& /*changed*/) {
    members_changed_ = true;
  };
  membership_.on_replaced = [] {
    Log(log_level::kError, "replaced",
        {{"detail",
          "a process with a later incarnation runs under this instance name"}});
  };
}

// Every part that calls into others from its own thread is stopped before any
// part is destroyed. Otherwise a datagram or a gossip update that arrives
// meanwhile would be delivered to a destroyed object, which caused crashes
// after a clean drain.
entry_node::~entry_node() {
  messenger_.Stop();
  membership_.Stop();
  ticker_ = {};
  partitions_.Stop();
  instances_.Stop();
  follower_.Stop();
}

void entry_node::Start() {
  membership_.AddSeeds(settings_.seeds);
  transport_.Start();
  membership_.Start();
  follower_.Start();
  instances_.Start();
  partitions_.Start();
  ledger_retry_ = std::make_unique<ledger_retry_thread>(ledger_);
  ticker_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
  peer_front_.Start();
  caller_front_.Start();
  Log(log_level::kInfo, "started",
      {{"region", settings_.region},
       {"caller_address", caller_front_.address()},
       {"incarnation", incarnation_}});
}

ledger_options entry_node::LedgerOptions() const {
  ledger_options options;
  options.self = {settings_.instance, incarnation_};
  return options;
}

// Callers learn of the stop from their next look-up, so requests are served for
// as long as a look-up response may be cached. Callers that still arrive after
// that are refused and told to use another entry. Partitions are released last,
// and for a bounded time only: while the platform is unreachable they can't be
// released, and its instance list will show in time that this instance has
// gone.
void entry_node::Drain() {
  Log(log_level::kInfo, "leaving");
  const auto started = clock_.now();
  state_.leaving = true;
  membership_.AnnounceLeaving();
  SetPhase(front_phase::kNoKeepAlive);
  const auto present = state_.deployments.Get();
  std::this_thread::sleep_for(
      present ? kLeavingPropagationTime + present->declared().limits.lookup_ttl
              : milliseconds{0});
  SetPhase(front_phase::kRefusing);
  while (caller_front_.active_requests() + peer_front_.active_requests() > 0)
    std::this_thread::sleep_for(kDrainPollInterval);
  ReleasePartitions();
  const auto close_until = clock_.now() + kCloseTimeout;
  caller_front_.Close(close_until);
  peer_front_.Close(close_until);
  Log(log_level::kInfo, "drained",
      {{"seconds",
        std::chrono::duration<double>(clock_.now() - started).count()},
       {"seats_kept", partitions_.owned_count()}});
}

void entry_node::SetPhase(front_phase phase) {
  caller_front_.SetPhase(phase);
  peer_front_.SetPhase(phase);
}

void entry_node::ReleasePartitions() {
  for (const auto& [name, gate] : gates_.All())
    gate->Leave();
  partitions_.Leave();
  const auto deadline = clock_.now() + kPartitionReleaseTimeout;
  while (partitions_.owned_count() > 0 && clock_.now() < deadline)
    std::this_thread::sleep_for(kDrainPollInterval);
}

}  // namespace samphire
