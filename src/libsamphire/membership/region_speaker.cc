#include "membership/region_speaker.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// Contacts besides the delegates change this often, so that requests passed
// on don't all land on the same few entries for good; each change has to be
// told to every member everywhere, which bounds it from below.
constexpr std::int64_t kContactPeriodMs = 120'000;
// Digests of other regions that go along with the own one in a datagram.
constexpr std::size_t kPassedOn = 3;
// Older ones are known wherever they can be of use.
constexpr milliseconds kPassOnAge{20'000};

region_contact ContactOf(const member& known) {
  return {known.name, known.caller_address, known.peer_address};
}

template <typename T>
T Saturated(std::uint64_t value) {
  return static_cast<T>(
      std::min<std::uint64_t>(value, std::numeric_limits<T>::max()));
}

}  // namespace

region_speaker::region_speaker(const membership_options& options,
                               time_point now,
                               std::mt19937_64& random)
    : options_(options), random_(random) {
  next_ = now + milliseconds(Pick(options_.region_interval.count()));
}

std::vector<std::string> region_speaker::Delegates(
    const membership_table& table) const {
  return PickByRendezvous("delegate", table.Working(), options_.delegates);
}

bool region_speaker::IsDelegate(const membership_table& table) const {
  const auto delegates = Delegates(table);
  return std::ranges::find(delegates, table.self().name) != delegates.end();
}

region_digest region_speaker::Describe(const membership_table& table,
                                       std::int64_t now_ms) const {
  const auto working = table.Working();
  auto names = Delegates(table);
  for (auto& name :
       PickByRendezvous(fmt::format("contact/{}", now_ms / kContactPeriodMs),
                        working, kMaxContacts + names.size())) {
    if (names.size() < kMaxContacts &&
        std::ranges::find(names, name) == names.end()) {
      names.push_back(std::move(name));
    }
  }
  region_digest digest;
  digest.region = table.self().region;
  digest.as_of = now_ms;
  digest.entries = Saturated<std::uint16_t>(working.size());
  for (const auto& name : names)
    digest.contacts.push_back(ContactOf(*table.Find(name)));
  std::uint64_t free_slots = 0;
  std::uint64_t queued = 0;
  for (const auto& name : working) {
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

// Each delegate writes to one region at a time, and passes on some of what it
// heard of others. So its bytes are the same with three regions and with
// twenty-four; news then takes some more steps to reach every region.
std::optional<region_speaker::letter> region_speaker::Tick(
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
  // The first contacts are delegates. Now and then another is written to, in
  // case they are gone and nobody there could tell.
  const bool any = ++spoken_ % 4 == 0;
  const auto among =
      any ? contacts.size() : std::min(contacts.size(), options_.delegates);
  letter message{contacts[Pick(among)].peer_address, {Describe(table, now_ms)}};
  auto fresh = regions.FreshWithin(kPassOnAge, now_ms);
  std::erase(fresh, to->first);
  std::ranges::shuffle(fresh, random_);
  fresh.resize(std::min(fresh.size(), kPassedOn));
  for (const auto& region : fresh)
    message.regions.push_back(*regions.Find(region));
  return message;
}

std::size_t region_speaker::Pick(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

}  // namespace samphire
