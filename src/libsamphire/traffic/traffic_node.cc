#include "traffic/traffic_node.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"
#include "gateway/text_handler.h"
#include "membership/new_incarnation.h"
#include "traffic/handler_factory.h"
#include "traffic/mirror_handler.h"
#include "traffic/shared_store.h"
#include "traffic/source_plan.h"
#include "traffic/traffic_handler.h"

namespace samphire {

namespace {

constexpr milliseconds kDrainCheck{20};
// After the request to stop, connections that callers hold are served for
// their look-ups' lifetime and the second in which news of it spreads.
constexpr milliseconds kNewsTime{1200};
// Kept for the last answers, out of the time until the process is killed.
constexpr milliseconds kStopMargin{500};
// Three watches for each entry of a region of eighty.
constexpr std::uint32_t kPeerConnections = 256;
// Metrics are read by a few collectors.
constexpr std::uint32_t kMetricsConnections = 16;
// Callers may use an idle connection up to the declared time; one that is
// closed later than that never crosses a request.
constexpr milliseconds kIdleMargin{2000};

// A dead entry must be out of look-ups within about six seconds: a probe each
// second finds it, and this is how long it may speak up.
constexpr milliseconds kSuspicion{2500};

member SelfMember(const traffic_settings& settings, std::uint64_t incarnation) {
  member self;
  self.name = settings.place.instance;
  self.region = settings.place.region;
  self.failure_domain = settings.place.failure_domain;
  self.caller_address = settings.caller_address;
  self.peer_address = settings.peer_address;
  self.incarnation = incarnation;
  return self;
}

membership_options Pace() {
  membership_options options;
  options.suspicion = kSuspicion;
  return options;
}

}  // namespace

traffic_node::traffic_node(traffic_settings settings,
                           traffic_headers headers,
                           peer_keys keys)
    : settings_(std::move(settings)),
      headers_(std::move(headers)),
      incarnation_(NewIncarnation()),
      shards_(settings_.without),
      transport_(settings_.peer_address,
                 settings_.place.instance,
                 incarnation_,
                 keys,
                 clock_,
                 metrics_),
      membership_(SelfMember(settings_, incarnation_),
                  Pace(),
                  transport_,
                  clock_,
                  metrics_,
                  incarnation_),
      signer_(std::move(keys),
              {settings_.place.instance, incarnation_},
              clock_),
      relay_(clock_),
      list_builder_(settings_.place.instance,
                    settings_.settle_time,
                    settings_.least_fleet,
                    clock_.now()),
      placings_(transport_, clock_, metrics_, incarnation_),
      limiter_(transport_, settings_, state_, clock_, metrics_, incarnation_),
      context_{settings_, headers_, state_, shards_, placings_,
               limiter_,  pool_,    clock_, metrics_},
      placing_server_(transport_, context_),
      caller_front_(
          settings_.caller_address,
          new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
            return new traffic_handler(context_);
          }),
          {.max_connections = settings_.max_connections},
          metrics_),
      metrics_front_(
          settings_.metrics_address,
          new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
            return new text_handler("text/plain; version=0.0.4",
                                    [this] { return CountersText(); });
          }),
          {.max_connections = kMetricsConnections},
          metrics_),
      peer_front_(
          settings_.peer_address,
          new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
            return new mirror_handler(relay_, signer_, settings_.peer_address,
                                      metrics_);
          }),
          {.max_connections = kPeerConnections},
          metrics_) {
  state_.SetBounds(settings_.bounds);
  membership_.on_member_changed = [this](const member& /*changed*/) {
    FollowMembers();
  };
}

traffic_node::~traffic_node() {
  membership_.Stop();
}

void traffic_node::Start() {
  FollowMembers();
  membership_.AddSeeds(settings_.seeds);
  transport_.Start();
  membership_.Start();
  peer_front_.Start();
  caller_front_.Start();
  metrics_front_.Start();
  Log(log_level::kInfo, "started",
      {{"region", settings_.place.region},
       {"failure_domain", settings_.place.failure_domain},
       {"caller_address", settings_.caller_address},
       {"incarnation", incarnation_}});
}

void traffic_node::SetBounds(const traffic_bounds& bounds) {
  state_.SetBounds(bounds);
}

void traffic_node::AddSeeds(const std::vector<std::string>& seeds) {
  membership_.AddSeeds(seeds);
}

void traffic_node::SetManifest(const manifest_ptr& manifest) {
  const auto before = state_.manifest();
  if (!state_.SetManifest(manifest))
    return;
  const auto& limits = manifest->limits();
  caller_front_.SetTimeouts(limits.header_timeout,
                            limits.idle_timeout + kIdleMargin);
  Log(log_level::kInfo, "config-in-force",
      {{"version", manifest->version()},
       {"version_before", before ? before->version() : 0},
       {"routes", manifest->route_count()}});
  TellPeers();
}

void traffic_node::SetTargets(std::vector<live_target> targets) {
  const bool first = !state_.targets();
  state_.SetTargets(std::move(targets));
  LogTargets();
  if (first)
    TellPeers();
}

void traffic_node::SetEvacuatedDomains(std::set<std::string> domains) {
  state_.SetEvacuatedDomains(std::move(domains));
  LogTargets();
}

void traffic_node::TellPeers() {
  const auto manifest = state_.manifest();
  if (!manifest || !state_.targets())
    return;
  member_digest digest;
  digest.config_version = manifest->version();
  membership_.SetSelf(std::move(digest), 0);
  FollowMembers();
}

void traffic_node::LogTargets() const {
  const auto targets = state_.targets();
  if (!targets)
    return;
  Log(log_level::kInfo, "targets-changed",
      {{"targets", targets->size()},
       {"open", targets->open_count()},
       {"evacuated_domains", targets->evacuated_domains().size()}});
}

std::vector<std::string> traffic_node::CallerAddresses() const {
  return state_.entries().Get()->caller_addresses;
}

void traffic_node::FollowMembers() {
  std::lock_guard guard(list_lock_);
  const auto before = state_.entries().Get();
  state_.entries().Replace(list_builder_.Build(membership_.members(),
                                               membership_.regions(), IsReady(),
                                               state_.leaving, clock_.now()));
  if (state_.entries().Get()->names != before->names)
    limiter_.OnEntriesChanged();
}

std::unique_ptr<object_watcher> traffic_node::Share(object_watcher& platform) {
  return std::make_unique<shared_store>(
      platform, relay_, pool_, signer_, clock_, settings_.meeting_time,
      [this] { return Sources(); }, [this] { return Peers(); });
}

std::vector<std::string> traffic_node::Peers() const {
  return state_.entries().Get()->helper_addresses;
}

source_plan traffic_node::Sources() const {
  return PlanSources(settings_.place, *state_.entries().Get());
}

std::string traffic_node::CountersText() {
  return metrics_.Render();
}

// Callers use their connections until the process is gone, so requests are
// served for as long as their answers fit before the kill; those that come
// later are told at once that they did not run.
void traffic_node::Drain() {
  const auto asked = clock_.now();
  Log(log_level::kInfo, "leaving");
  state_.leaving = true;
  FollowMembers();
  membership_.AnnounceLeaving();
  caller_front_.SetPhase(front_phase::kLeaving);
  const auto bounds = state_.bounds();
  const auto last = asked + bounds->stop_grace - kStopMargin;
  const auto serve_until =
      std::min(asked + bounds->lookup_ttl + kNewsTime, last);
  std::this_thread::sleep_until(serve_until);
  caller_front_.SetPhase(front_phase::kTurningAway);
  while (caller_front_.active() > 0 && clock_.now() < last)
    std::this_thread::sleep_for(kDrainCheck);
  const int cut = caller_front_.active();
  Log(cut > 0 ? log_level::kWarning : log_level::kInfo, "drained",
      {{"requests_cut", cut},
       {"seconds",
        std::chrono::duration<double>(clock_.now() - asked).count()}});
  caller_front_.Close();
  // Connections that were taken in but not read yet are being turned away; the
  // end of the process would reset them, and their callers could not tell
  // whether they ran.
  while (caller_front_.connections() > 0 && clock_.now() < last)
    std::this_thread::sleep_for(kDrainCheck);
}

}  // namespace samphire
