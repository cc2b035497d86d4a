#include "decision/wait_queue.h"

#include <algorithm>
#include <utility>

#include "decision/class_load.h"

namespace samphire {

namespace {

// A waiter that may not use the slot at hand (it avoids a failure domain) must
// not hold up those behind it; but a long scan on each free slot would cost
// most when the queue is longest.
constexpr std::size_t kScanLimit = 16;

}  // namespace

wait_queue::~wait_queue() {
  by_expiry_.clear();
  for (auto& kind : lists_) {
    for (auto& list : kind)
      list.clear();
  }
}

wait_queue::waiter_list& wait_queue::ListOf(const waiter& entry) {
  const auto& rules = entry.load->rules;
  return lists_[static_cast<std::size_t>(rules.kind)]
               [static_cast<std::size_t>(rules.priority)];
}

void wait_queue::Add(boost::intrusive_ptr<waiter> entry) {
  auto& list = ListOf(*entry);
  auto place = list.end();
  if (order_ == queue_order::kDeadline) {
    while (place != list.begin() &&
           std::prev(place)->request.deadline > entry->request.deadline)
      --place;
  }
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

waiter* wait_queue::Find(request_kind kind,
                         const std::function<bool(waiter&)>& visit) {
  auto& ranks = lists_[static_cast<std::size_t>(kind)];
  for (auto rank = ranks.rbegin(); rank != ranks.rend(); ++rank) {
    std::size_t scanned = 0;
    for (auto& entry : *rank) {
      if (++scanned > kScanLimit)
        break;
      if (visit(entry))
        return &entry;
    }
  }
  return nullptr;
}

void wait_queue::ForFirst(
    request_kind kind,
    std::size_t most,
    const std::function<void(const waiter&)>& visit) const {
  const auto& ranks = lists_[static_cast<std::size_t>(kind)];
  for (auto rank = ranks.rbegin(); rank != ranks.rend(); ++rank) {
    for (const auto& entry : *rank) {
      if (most-- == 0)
        return;
      visit(entry);
    }
  }
}

std::size_t wait_queue::size(request_kind kind) const {
  return ahead(kind, priority::kLow);
}

std::size_t wait_queue::ahead(request_kind kind, priority rank) const {
  const auto& ranks = lists_[static_cast<std::size_t>(kind)];
  std::size_t count = 0;
  for (auto i = static_cast<std::size_t>(rank); i < ranks.size(); ++i)
    count += ranks[i].size();
  return count;
}

const waiter* wait_queue::oldest(request_kind kind) const {
  const waiter* first = nullptr;
  for (const auto& list : lists_[static_cast<std::size_t>(kind)]) {
    if (!list.empty() && (first == nullptr || list.front().request.arrived <
                                                  first->request.arrived))
      first = &list.front();
  }
  return first;
}

std::optional<time_point> wait_queue::next_expiry() const {
  if (by_expiry_.empty())
    return std::nullopt;
  return by_expiry_.begin()->latest_start;
}

}  // namespace samphire
