#include "decision/wait_queue.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "decision/class_load.h"

namespace samphire {

namespace {

// A waiting request that may not use the free slot (because it avoids a failure
// domain) must not block those behind it; but a long scan for each free slot
// would be most expensive when the queue is longest.
constexpr std::size_t kScanLimit = 16;

constexpr std::array<priority, 3> kHighestFirst = {
    priority::kHigh, priority::kNormal, priority::kLow};

}  // namespace

wait_queue::~wait_queue() {
  by_expiry_.clear();
  for (auto& lane : lanes_) {
    for (auto& kind : lane->lists) {
      for (auto& list : kind)
        list.clear();
    }
  }
}

waiter_lane& wait_queue::LaneOf(const std::string& home_region) {
  for (auto& lane : lanes_) {
    if (lane->home_region == home_region)
      return *lane;
  }
  // There are as many lanes as regions; a lane takes a few hundred bytes.
  auto& added = lanes_.emplace_back(std::make_unique<waiter_lane>());
  added->home_region = home_region;
  return *added;
}

waiter_lane::waiter_list& wait_queue::ListOf(const waiter& entry) {
  const auto& rules = entry.load->rules;
  return LaneOf(entry.request.home_region).Of(rules.kind, rules.priority);
}

void wait_queue::Add(boost::intrusive_ptr<waiter> entry) {
  auto& list = ListOf(*entry);
  // Sorted by arrival at this entry, not by insertion into this list: a retry
  // keeps the position of its first attempt.
  const auto rank = [this](const waiter& each) {
    return order_ == queue_order::kDeadline ? each.request.deadline
                                            : each.request.arrived;
  };
  auto place = list.end();
  while (place != list.begin() && rank(*std::prev(place)) > rank(*entry))
    --place;
  list.insert(place, *entry);
  by_expiry_.insert(*entry);
  ++entry->load->queued;
  const std::uint64_t id = entry->request.id;
  by_id_.emplace(id, std::move(entry));
}

boost::intrusive_ptr<waiter> wait_queue::Remove(std::uint64_t request_id) {
  const auto found = by_id_.find(request_id);
  if (found == by_id_.end())
    return nullptr;
  auto entry = std::move(found->second);
  by_id_.erase(found);
  auto& list = ListOf(*entry);
  list.erase(list.iterator_to(*entry));
  by_expiry_.erase(by_expiry_.iterator_to(*entry));
  --entry->load->queued;
  return entry;
}

boost::intrusive_ptr<waiter> wait_queue::RemoveExpired(time_point now) {
  if (by_expiry_.empty() || by_expiry_.begin()->latest_start >= now)
    return nullptr;
  return Remove(by_expiry_.begin()->request.id);
}

waiter* wait_queue::Find(request_kind kind, const waiter_visitor& visit) const {
  for (const auto rank : kHighestFirst) {
    std::vector<waiter_lane::waiter_list*> lists;
    for (const auto& lane : lanes_) {
      if (!lane->Of(kind, rank).empty())
        lists.push_back(&lane->Of(kind, rank));
    }
    std::sort(lists.begin(), lists.end(), [](const auto* a, const auto* b) {
      return a->front().request.arrived < b->front().request.arrived;
    });
    for (auto* list : lists) {
      std::size_t visited = 0;
      for (auto& entry : *list) {
        if (++visited > kScanLimit)
          break;
        if (visit(entry))
          return &entry;
      }
    }
  }
  return nullptr;
}

std::size_t wait_queue::size(request_kind kind) const {
  std::size_t count = 0;
  for (const auto& lane : lanes_) {
    for (const auto rank : kHighestFirst)
      count += lane->Of(kind, rank).size();
  }
  return count;
}

std::size_t wait_queue::CountInLane(const std::string& home_region,
                                    request_kind kind,
                                    priority rank) const {
  std::size_t count = 0;
  for (const auto& lane : lanes_) {
    if (lane->home_region != home_region)
      continue;
    for (const auto each : kHighestFirst)
      count += each >= rank ? lane->Of(kind, each).size() : 0;
  }
  return count;
}

const waiter* wait_queue::oldest(request_kind kind) const {
  const waiter* first = nullptr;
  for (const auto& lane : lanes_) {
    for (const auto rank : kHighestFirst) {
      const auto& list = lane->Of(kind, rank);
      if (!list.empty() && (first == nullptr || list.front().request.arrived <
                                                    first->request.arrived))
        first = &list.front();
    }
  }
  return first;
}

std::optional<time_point> wait_queue::next_expiry() const {
  if (by_expiry_.empty())
    return std::nullopt;
  return by_expiry_.begin()->latest_start;
}

}  // namespace samphire
