#include "membership/region_digest_sender.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// Time after which the contacts besides the delegates are replaced, so that
// forwarded requests do not go to the same few entries for good. Each change
// has to be sent to every member of every region, which sets a lower bound on
// it.
constexpr std::int64_t kContactRotationMs = 120'000;
// Bounds the digests of other regions that accompany the own one in a datagram.
constexpr std::size_t kMaxForwardedDigests = 3;
// Digests older than this are not forwarded: they are known by now wherever
// they are of use.
constexpr milliseconds kMaxForwardedAge{20'000};

region_contact ContactOf(const member& known) {
  return {known.name, known.caller_address, known.peer_address};
}

template <typename T>
T Saturated(std::uint64_t value) {
  return static_cast<T>(
      std::min<std::uint64_t>(value, std::numeric_limits<T>::max()));
}

}  // namespace

region_digest_sender::region_digest_sender(const membership_options& options,
                                           time_point now,
                                           std::mt19937_64& random)
    : options_(options), random_(random) {
  next_ = now + milliseconds(Pick(options_.region_interval.count()));
}

std::vector<std::string> region_digest_sender::Delegates(
    const membership_table& table) const {
  return PickByRendezvous("delegate", table.AliveMembers(), options_.delegates);
}

bool region_digest_sender::IsDelegate(const membership_table& table) const {
  const auto delegates = Delegates(table);
  return std::ranges::find(delegates, table.self().name) != delegates.end();
}

region_digest region_digest_sender::BuildDigest(const membership_table& table,
                                                std::int64_t now_ms) const {
  const auto alive_members = table.AliveMembers();
  auto names = Delegates(table);
  for (auto& name :
       PickByRendezvous(fmt::format("contact/{}", now_ms / kContactRotationMs),
                        alive_members, kMaxContacts + names.size())) {
    if (names.size() < kMaxContacts &&
        std::ranges::find(names, name) == names.end()) {
      names.push_back(std::move(name));
    }
  }
  region_digest digest;
  digest.region = table.self().region;
  digest.as_of = now_ms;
  digest.entries = Saturated<std::uint16_t>(alive_members.size());
  for (const auto& name : names)
    digest.contacts.push_back(ContactOf(*table.Find(name)));
  std::uint64_t free_slots = 0;
  std::uint64_t queued = 0;
  for (const auto& name : alive_members) {
    const auto& known = table.Find(name)->digest;
    digest.config_version =
        std::max(digest.config_version, known.config_version);
    for (const auto& load : known.loads) {
      free_slots += load.free_slots;
      queued += load.queued;
    }
  }
  digest.free_slots = Saturated<std::uint32_t>(free_slots);
  digest.queued = Saturated<std::uint32_t>(queued);
  return digest;
}

// Each delegate sends to one region at a time and forwards some of the digests
// that it received. So its traffic is the same with three regions and with
// twenty-four; an update then takes a few more hops to reach every region.
std::optional<region_digest_sender::digest_message> region_digest_sender::Tick(
    const membership_table& table,
    const region_directory& regions,
    time_point now,
    std::int64_t now_ms) {
  if (now < next_)
    return std::nullopt;
  next_ = now + options_.region_interval;
  if (regions.digests().empty() || !IsDelegate(table))
    return std::nullopt;
  const auto to =
      std::next(regions.digests().begin(),
                static_cast<std::ptrdiff_t>(Pick(regions.digests().size())));
  const auto& contacts = to->second.contacts;
  if (contacts.empty())
    return std::nullopt;
  // The first contacts are delegates. Every fourth message goes to any of the
  // contacts, in case the delegates have failed and nobody in that region could
  // say so.
  const bool any = ++sent_count_ % 4 == 0;
  const auto among =
      any ? contacts.size() : std::min(contacts.size(), options_.delegates);
  digest_message message{contacts[Pick(among)].peer_address,
                         {BuildDigest(table, now_ms)}};
  auto fresh = regions.FreshWithin(kMaxForwardedAge, now_ms);
  std::erase(fresh, to->first);
  std::ranges::shuffle(fresh, random_);
  fresh.resize(std::min(fresh.size(), kMaxForwardedDigests));
  for (const auto& region : fresh)
    message.regions.push_back(*regions.Find(region));
  return message;
}

std::size_t region_digest_sender::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

}  // namespace samphire
