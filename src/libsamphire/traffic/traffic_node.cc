#include "traffic/traffic_node.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"
#include "gateway/text_handler.h"
#include "membership/new_incarnation.h"
#include "traffic/following/listing_report.h"
#include "traffic/following/mirror_handler.h"
#include "traffic/following/news_peers_of.h"
#include "traffic/following/shared_store.h"
#include "traffic/following/source_plan.h"
#include "traffic/handler_factory.h"
#include "traffic/placing/split_report.h"
#include "traffic/sending/relay_handler.h"
#include "traffic/traffic_handler.h"
#include "traffic/traffic_membership.h"

namespace samphire {

namespace {

// Interval at which Drain() checks whether requests or connections remain.
constexpr milliseconds kDrainPollInterval{20};
// Bounds the time for which connections of peers are waited for at the end.
// Most of them are watches that last longer than that.
constexpr milliseconds kPeerCloseTime{100};
// Upper bound on connections of peers: three watches for each entry of a region
// of eighty, and as many for requests that this entry passes on to targets.
constexpr std::uint32_t kPeerConnections = 512;
// Upper bound on connections of metrics collectors, of which there are few.
constexpr std::uint32_t kMetricsConnections = 16;
// Added to the declared idle timeout before an idle connection is closed.
// Callers may send a request on it until the declared time; closing it later
// avoids closing it while a request is on its way.
constexpr milliseconds kIdleMargin{2000};
// Added to the declared size of a request's head for the headers that an entry
// adds when it passes the request to another one, in bytes.
constexpr std::uint32_t kRelayHeadBytes = 4096;

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
      announcer_(
          transport_,
          relay_,
          [this] { return NewsPeers(); },
          metrics_),
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
  if (const auto before = state_.stop.schedule())
    state_.stop.Plan(
        PlanStop(before->requested, bounds.stop_grace, bounds.lookup_ttl));
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
  caller_front_.SetMaxHeaderBytes(limits.max_header_bytes);
  peer_front_.SetMaxHeaderBytes(limits.max_header_bytes + kRelayHeadBytes);
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

void traffic_node::SetEvacuatedDomains(std::set<std::string> domains,
                                       store_cursor position,
                                       const std::string& source) {
  const auto before = state_.evacuations_position.StatusAt(clock_.now());
  const auto names = fmt::format("{}", fmt::join(domains, ","));
  const bool first = !state_.targets();
  state_.SetEvacuatedDomains(std::move(domains));
  state_.evacuations_position.Advance(position);
  Log(log_level::kWarning, "evacuations-in-force",
      {{"domains", names},
       {"era", position.era},
       {"revision", position.revision},
       {"revision_before", before.position.revision},
       {"source", source},
       {"confirmed_ms_before", AgeForLog(before)}});
  LogTargets();
  if (first)
    AnnounceReady();
}

void traffic_node::ConfirmEvacuations(store_cursor position) {
  state_.evacuations_position.Confirm(position, clock_.now());
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

bool traffic_node::IsReady() const {
  return state_.IsReady() &&
         MayServeBy(state_.evacuations_position.StatusAt(clock_.now()),
                    state_.entries().Get()->is_alone);
}

void traffic_node::RefreshEntryList() {
  std::lock_guard guard(entry_list_lock_);
  const auto before = state_.entries().Get();
  const auto members = membership_.members();
  const auto now = clock_.now();
  const auto after = entry_list_builder_.Build(
      members, membership_.regions(), IsReady(), state_.stop.begun(), now);
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
      [this] { return BootstrapAddresses(); }, &announcer_);
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

int traffic_node::RunningRequests() const {
  return caller_front_.active_requests() + state_.relayed_requests;
}

void traffic_node::AwaitRequests(time_point deadline) {
  while (RunningRequests() > 0 && clock_.now() < deadline) {
    caller_front_.RefuseWaiting(deadline);
    peer_front_.RefuseWaiting(deadline);
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

// Steps are warnings, so that the lines of the requests that are refused
// meanwhile don't crowd them out.
void traffic_node::LogStopStep(const char* event) const {
  const auto schedule = state_.stop.schedule();
  const auto since = [&](time_point at) {
    return std::chrono::duration<double>(at - schedule->requested).count();
  };
  Log(log_level::kWarning, event,
      {{"seconds", since(clock_.now())},
       {"keep_seconds", since(schedule->keep_until)},
       {"serve_seconds", since(schedule->serve_until)},
       {"cut_seconds", since(schedule->cut_at)},
       {"end_seconds", since(schedule->end_by)},
       {"requests", caller_front_.active_requests()},
       {"relayed_requests", state_.relayed_requests.load()},
       {"connections", caller_front_.connections()},
       {"refused", caller_front_.refused_while_leaving()}});
}

// Everything that follows from the stop for requests holds from here on, also
// while another thread is busy with something that takes long.
time_point traffic_node::BeginStop(time_point requested) {
  const auto bounds = state_.bounds();
  state_.stop.Plan(PlanStop(requested, bounds->stop_grace, bounds->lookup_ttl));
  caller_front_.SetPhase(front_phase::kNoKeepAlive);
  LogStopStep("leaving");
  RefreshEntryList();
  membership_.AnnounceLeaving();
  return state_.stop.schedule()->end_by;
}

// Callers use their connections until the process ends, so requests are served
// for as long as their responses can be sent before the kill. Later requests
// are refused immediately, with the statement that they did not run. The end of
// the process would reset connections whose requests were not read or answered,
// and their callers could not tell whether these ran: so whoever is left at the
// end is told as well. Callers who connect again and again until the end would
// be among them on a busy processor, so that the port closes before.
void traffic_node::Drain() {
  if (!state_.stop.begun())
    BeginStop(clock_.now());
  std::this_thread::sleep_until(state_.stop.schedule()->serve_until);
  LogStopStep("refusing");
  caller_front_.StopAccepting();
  peer_front_.StopAccepting();
  AwaitRequests(state_.stop.schedule()->cut_at);
  const auto end_by = state_.stop.schedule()->end_by;
  const int cut = RunningRequests();
  if (cut > 0) {
    LogStopStep("cutting");
    caller_front_.ClosePort();
    peer_front_.ClosePort();
    caller_front_.SetPhase(front_phase::kCutting);
    state_.stop.Cut();
    AwaitRequests(end_by);
  }
  caller_front_.Close(end_by);
  peer_front_.Close(std::min(end_by, clock_.now() + kPeerCloseTime));
  Log(log_level::kWarning, "drained",
      {{"requests_cut", cut},
       {"requests_left", RunningRequests()},
       {"refused", caller_front_.refused_while_leaving()},
       {"seconds", std::chrono::duration<double>(
                       clock_.now() - state_.stop.schedule()->requested)
                       .count()}});
}

}  // namespace samphire
