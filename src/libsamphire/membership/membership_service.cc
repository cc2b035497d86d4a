#include "membership/membership_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "membership/rendezvous.h"

namespace samphire {

namespace {

// A third of the direct probe timeout, which is the shortest time that the
// protocol measures.
constexpr milliseconds kTickInterval{100};

constexpr auto kHandledKinds = std::to_array(
    {message_kind::kProbe, message_kind::kProbeAck, message_kind::kProbeRequest,
     message_kind::kGossip, message_kind::kRegionDigest, message_kind::kJoin,
     message_kind::kSyncRequest, message_kind::kPing, message_kind::kPingAck});

}  // namespace

membership_service::membership_service(member self,
                                       const membership_options& options,
                                       peer_transport& transport,
                                       const clock_source& clock,
                                       metrics& registry,
                                       std::uint64_t seed)
    : transport_(transport),
      clock_(clock),
      metrics_(registry),
      core_(std::move(self), options, clock.now(), clock.wall_now(), seed) {
  for (const auto kind : kHandledKinds) {
    transport_.OnMessage(kind, [this, kind](const peer_message& message) {
      WithCore([&] { core_.Receive(kind, message, clock_.now()); });
    });
  }
}

// The transport outlives this object and may be delivering a message.
membership_service::~membership_service() {
  Stop();
}

void membership_service::Stop() {
  thread_ = {};
  for (const auto kind : kHandledKinds)
    transport_.OnMessage(kind, nullptr);
}

void membership_service::Start() {
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

void membership_service::Run(const std::stop_token& stop) {
  std::mutex idle;
  std::unique_lock guard(idle);
  while (!stop.stop_requested()) {
    Tick();
    wake_.wait_for(guard, stop, kTickInterval, [] { return false; });
  }
}

void membership_service::Tick() {
  std::size_t up = 0;
  WithCore([&] {
    core_.Tick(clock_.now());
    up = core_.table().ProbedMembers().size() + 1;
  });
  metrics_.Set("members_up", {}, static_cast<double>(up));
}

// Messages are sent and callbacks run without the lock: a send may block, and a
// callback may call this object for its members.
template <typename F>
void membership_service::WithCore(F&& change) {
  std::vector<outgoing_message> outgoing;
  std::vector<membership_event> events;
  {
    std::lock_guard guard(lock_);
    std::forward<F>(change)();
    outgoing = core_.TakeOutgoing();
    events = core_.TakeEvents();
  }
  for (const auto& message : outgoing) {
    const auto sent =
        transport_.Send(message.address, message.kind, message.payload);
    if (!sent)
      metrics_.CountRetry(sent.error().code);
  }
  for (const auto& event : events)
    DispatchEvent(event);
}

void membership_service::DispatchEvent(const membership_event& event) const {
  if (const auto* change = std::get_if<member_changed>(&event)) {
    const auto state = NameOf(kMemberStateNames, change->now.state);
    metrics_.Count("member_changes_total", fmt::format("state=\"{}\"", state));
    Log(log_level::kInfo, "member-changed",
        {{"member", change->now.name},
         {"incarnation", change->now.incarnation},
         {"state", state}});
    if (on_member_changed)
      on_member_changed(change->now);
  } else if (const auto* seen = std::get_if<peer_config_seen>(&event)) {
    if (on_config_version)
      on_config_version(seen->version, seen->digest, seen->peer_address);
  } else {
    Log(log_level::kError, "instance-replaced");
    if (on_replaced)
      on_replaced();
  }
}

void membership_service::AddSeeds(const std::vector<std::string>& addresses) {
  WithCore([&] { core_.AddSeeds(addresses); });
}

void membership_service::SetSelf(member_digest digest,
                                 std::uint64_t config_digest) {
  WithCore([&] { core_.SetSelf(std::move(digest), config_digest); });
}

void membership_service::AnnounceLeaving() {
  WithCore([&] { core_.AnnounceLeaving(); });
}

std::vector<member> membership_service::members() const {
  std::lock_guard guard(lock_);
  std::vector<member> all{core_.table().self()};
  all.front().heard_at = clock_.now();
  for (const auto& [name, known] : core_.table().other_members())
    all.push_back(known);
  return all;
}

std::vector<region_contact> membership_service::EntriesOf(
    std::string_view region) const {
  std::lock_guard guard(lock_);
  const auto& table = core_.table();
  std::vector<region_contact> entries;
  if (region == table.self().region) {
    for (const auto& name : table.AliveMembers()) {
      const auto& known = *table.Find(name);
      entries.push_back({name, known.caller_address, known.peer_address});
    }
  } else if (const auto* digest = core_.regions().Find(region)) {
    entries = digest->contacts;
  }
  const auto weight = [&table](const region_contact& entry) {
    return RendezvousWeight(table.self().name, entry.name);
  };
  std::ranges::sort(entries, std::greater<>{}, weight);
  return entries;
}

std::vector<region_view> membership_service::regions() const {
  std::lock_guard guard(lock_);
  const auto now = core_.WallMs(clock_.now());
  std::vector<region_view> views;
  for (const auto& [region, digest] : core_.regions().digests()) {
    const auto age = std::max<std::int64_t>(0, now - digest.as_of);
    views.push_back({digest, milliseconds(age)});
  }
  return views;
}

bool membership_service::HasRole(std::string_view role,
                                 std::size_t count) const {
  std::lock_guard guard(lock_);
  const auto& table = core_.table();
  const auto role_owners = PickByRendezvous(role, table.AliveMembers(), count);
  return std::ranges::find(role_owners, table.self().name) != role_owners.end();
}

std::string membership_service::RoleOwnerAddress(std::string_view role) const {
  std::lock_guard guard(lock_);
  const auto& table = core_.table();
  const auto role_owners = PickByRendezvous(role, table.AliveMembers(), 1);
  if (role_owners.empty() || role_owners.front() == table.self().name)
    return {};
  return table.Find(role_owners.front())->peer_address;
}

bool membership_service::IsDelegate() const {
  std::lock_guard guard(lock_);
  return core_.IsDelegate();
}

}  // namespace samphire
