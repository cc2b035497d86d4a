#include "traffic/traffic_node.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"
#include "gateway/text_handler.h"
#include "membership/new_incarnation.h"
#include "traffic/handler_factory.h"
#include "traffic/listing_report.h"
#include "traffic/mirror_handler.h"
#include "traffic/news_peers_of.h"
#include "traffic/relay_handler.h"
#include "traffic/shared_store.h"
#include "traffic/source_plan.h"
#include "traffic/split_report.h"
#include "traffic/traffic_handler.h"
#include "traffic/traffic_membership.h"

namespace samphire {

namespace {

// Interval at which Drain() checks whether requests or connections remain.
constexpr milliseconds kDrainPollInterval{20};
// Time in which gossip tells the region that this entry leaves, about a second.
// After the request to stop, connections of callers are served for this time
// and the lifetime of their look-ups.
constexpr milliseconds kLeavingPropagationTime{1200};
// Part of the time until the process is killed that is reserved for sending the
// last responses.
constexpr milliseconds kStopMargin{500};
// Upper bound on connections of peers: three watches for each entry of a region
// of eighty, and as many for requests that this entry passes on to targets.
constexpr std::uint32_t kPeerConnections = 512;
// Upper bound on connections of metrics collectors, of which there are few.
constexpr std::uint32_t kMetricsConnections = 16;
// Added to the declared idle timeout before an idle connection is closed.
// Callers may send a request on it until the declared time; closing it later
// avoids closing it while a request is on its way.
constexpr milliseconds kIdleMargin{2000};

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

}  // namespace

traffic_node::traffic_node(traffic_settings settings,
                           traffic_headers headers,
                           peer_keys keys,
                           const connection_opener& opener)
    : settings_(std::move(settings)),
      headers_(std::move(headers)),
      incarnation_(NewIncarnation()),
      shards_(settings_.disabled_mechanisms),
      pool_(opener),
      transport_(settings_.peer_address,
                 settings_.place.instance,
                 incarnation_,
                 keys,
                 clock_,
                 metrics_),
      membership_(SelfMember(settings_, incarnation_),
                  TrafficMembershipOptions(settings_.unlisting_time),
                  transport_,
                  clock_,
                  metrics_,
                  incarnation_),
      signer_(std::move(keys),
              {settings_.place.instance, incarnation_},
              clock_),
      relay_(clock_),
      entry_list_builder_(settings_.place.instance,
                          settings_.settle_time,
                          settings_.min_fleet_size,
                          clock_.now()),
      placement_client_(transport_, clock_, metrics_, incarnation_),
      limiter_(transport_, settings_, state_, clock_, metrics_, incarnation_),
      target_news_(
          transport_,
          message_kind::kTargetNews,
          "target_news_malformed_total",
          [this] { return NewsPeers(); },
          metrics_),
      target_limiter_(transport_,
                      target_news_,
                      settings_,
                      state_,
                      clock_,
                      metrics_,
                      incarnation_),
      target_notices_(shards_, target_limiter_, target_news_, clock_),
      quarantine_(
          transport_,
          [this] { return NewsPeers(); },
          clock_,
          metrics_),
      links_(clock_, metrics_),
      context_{settings_,       headers_,          state_,
               shards_,         placement_client_, limiter_,
               target_limiter_, target_notices_,   quarantine_,
               links_,          signer_,           pool_,
               clock_,          metrics_},
      placement_server_(transport_, context_),
      link_prober_(links_, pool_),
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
                                    [this] { return MetricsText(); });
          }),
          {.max_connections = kMetricsConnections},
          metrics_),
      peer_front_(
          settings_.peer_address,
          new handler_factory([this](const Poco::Net::HTTPServerRequest& call) {
            return MakePeerHandler(call);
          }),
          {.max_connections = kPeerConnections},
          metrics_) {
  state_.SetBounds(settings_.bounds);
  if (!settings_.is_first_start)
    entry_list_builder_.FollowEarlierProcess(settings_.bounds.retries.window);
  target_news_.on_news = [this](const target_news& news,
                                const std::string& /*from*/) {
    target_notices_.OnNews(news);
  };
  membership_.on_member_changed = [this](const member& /*changed*/) {
    RefreshEntryList();
  };
}

traffic_node::~traffic_node() {
  membership_.Stop();
}

void traffic_node::Start() {
  RefreshEntryList();
  membership_.AddSeeds(settings_.seeds);
  transport_.Start();
  quarantine_.Ask(settings_.seeds);
  membership_.Start();
  peer_front_.Start();
  caller_front_.Start();
  metrics_front_.Start();
  link_prober_.Start();
  Log(log_level::kInfo, "started",
      {{"region", settings_.place.region},
       {"failure_domain", settings_.place.failure_domain},
       {"caller_address", settings_.caller_address},
       {"incarnation", incarnation_}});
}

void traffic_node::Tick() {
  RefreshEntryList();
  quarantine_.Tick();
  pool_.CloseRested();
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
       {"routes", manifest->routes().size()}});
  AnnounceReady();
}

void traffic_node::SetTargets(std::vector<live_target> targets,
                              store_cursor listing) {
  const bool first = !state_.targets();
  state_.SetTargets(std::move(targets), listing);
  LogTargets();
  if (first)
    AnnounceReady();
}

void traffic_node::SetEvacuatedDomains(std::set<std::string> domains) {
  state_.SetEvacuatedDomains(std::move(domains));
  LogTargets();
}

void traffic_node::AnnounceReady() {
  const auto manifest = state_.manifest();
  if (!manifest || !state_.targets())
    return;
  member_digest digest;
  digest.config_version = manifest->version();
  membership_.SetSelf(std::move(digest), 0);
  RefreshEntryList();
}

void traffic_node::LogTargets() const {
  const auto targets = state_.targets();
  if (!targets)
    return;
  Log(log_level::kInfo, "targets-changed",
      {{"targets", targets->size()},
       {"open", targets->open_count()},
       {"listing_era", targets->listing().era},
       {"listing_revision", targets->listing().revision},
       {"evacuated_domains", targets->evacuated_domains().size()}});
}

std::vector<std::string> traffic_node::CallerAddresses() {
  metrics_.Count("lookups_total");
  const auto entries = state_.entries().Get();
  std::vector<std::string> addresses;
  for (const auto& each : entries->listed)
    addresses.push_back(each.caller_address);
  return addresses;
}

void traffic_node::RefreshEntryList() {
  std::lock_guard guard(entry_list_lock_);
  const auto before = state_.entries().Get();
  const auto members = membership_.members();
  const auto now = clock_.now();
  const auto after = entry_list_builder_.Build(members, membership_.regions(),
                                               IsReady(), state_.leaving, now);
  state_.entries().Replace(after);
  LogListingChanges(before->listed, after->listed, members, now, metrics_);
  if (after->names != before->names) {
    quarantine_.OnEntriesChanged();
    limiter_.OnEntriesChanged();
    target_limiter_.OnEntriesChanged();
  }
}

std::unique_ptr<object_watcher> traffic_node::MakeSharedStore(
    object_watcher& platform) {
  return std::make_unique<shared_store>(
      platform, relay_, pool_, signer_, clock_, settings_.discovery_time,
      [this] { return CurrentSourcePlan(); },
      [this] { return BootstrapAddresses(); });
}

std::vector<std::string> traffic_node::BootstrapAddresses() const {
  return state_.entries().Get()->bootstrap_addresses;
}

source_plan traffic_node::CurrentSourcePlan() const {
  return PlanSources(settings_.place, *state_.entries().Get());
}

news_peers traffic_node::NewsPeers() const {
  return NewsPeersOf(*state_.entries().Get(), settings_.place.instance);
}

Poco::Net::HTTPRequestHandler* traffic_node::MakePeerHandler(
    const Poco::Net::HTTPServerRequest& request) {
  if (relay_handler::Accepts(request))
    return new relay_handler(context_);
  return new mirror_handler(relay_, signer_, settings_.peer_address, metrics_);
}

std::string traffic_node::MetricsText() {
  metrics_.Set("quarantined", "",
               static_cast<double>(quarantine_.quarantined()));
  metrics_.Set("targets_lost", "",
               static_cast<double>(quarantine_.targets_lost()));
  metrics_.Set("targets_unreachable", "",
               static_cast<double>(links_.unreachable()));
  SetSplitMetrics(shards_, metrics_);
  SetListingMetrics(state_.entries().Get()->listed, clock_.now(), metrics_);
  return metrics_.Render();
}

// Callers use their connections until the process ends, so requests are served
// for as long as their responses can be sent before the kill. Later requests
// are refused immediately, with the statement that they did not run.
void traffic_node::Drain() {
  const auto requested_at = clock_.now();
  Log(log_level::kInfo, "leaving");
  state_.leaving = true;
  RefreshEntryList();
  membership_.AnnounceLeaving();
  caller_front_.SetPhase(front_phase::kNoKeepAlive);
  const auto bounds = state_.bounds();
  const auto deadline = requested_at + bounds->stop_grace - kStopMargin;
  const auto serve_until = std::min(
      requested_at + bounds->lookup_ttl + kLeavingPropagationTime, deadline);
  std::this_thread::sleep_until(serve_until);
  caller_front_.SetPhase(front_phase::kRefusing);
  const auto running = [this] {
    return caller_front_.active_requests() + state_.relayed_requests;
  };
  while (running() > 0 && clock_.now() < deadline)
    std::this_thread::sleep_for(kDrainPollInterval);
  const int cut = running();
  Log(cut > 0 ? log_level::kWarning : log_level::kInfo, "drained",
      {{"requests_cut", cut},
       {"seconds",
        std::chrono::duration<double>(clock_.now() - requested_at).count()}});
  caller_front_.Close(deadline);
  // Requests on connections that were accepted but not read yet are being
  // refused. The end of the process would reset these connections, and their
  // callers could not tell whether the requests ran.
  while (caller_front_.connections() > 0 && clock_.now() < deadline)
    std::this_thread::sleep_for(kDrainPollInterval);
}

}  // namespace samphire
