#ifndef BENCH_MEMBERSHIP_FLEET_H_
#define BENCH_MEMBERSHIP_FLEET_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "membership/membership_core.h"

// Simulates the membership of a fleet of entries, on one thread and in
// simulated time.

namespace samphire {

inline constexpr milliseconds kTickInterval{100};
// Bytes of the digest, sender, numbers, kind and length of an envelope, and of
// the IP and UDP headers.
inline constexpr std::uint64_t kDatagramOverheadBytes =
    32 + 1 + 11 + 24 + 1 + 2 + 28;

// One entry, with counts of the bytes and messages since the last reset.
struct node {
  std::unique_ptr<membership_core> core;
  std::string name;
  std::string address;
  int region = 0;
  bool up = true;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t messages = 0;
  std::uint64_t config = 1;
};

// A datagram on its way to the node with index `to`.
struct datagram {
  time_point due;
  std::uint64_t order = 0;
  std::size_t from = 0;
  std::size_t to = 0;
  message_kind kind = message_kind::kProbe;
  std::string payload;

  bool operator>(const datagram& other) const {
    return std::pair(due, order) > std::pair(other.due, other.order);
  }
};

// All entries and the network between them, which delivers after 1 ms within a
// region and after 30 ms between regions.
class fleet {
 public:
  fleet(int count, int regions, const membership_options& options = {})
      : options_(options) {
    for (int i = 0; i < count; ++i)
      AddNode(i, regions);
  }

  void Run(duration time) {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += kTickInterval;
      Deliver();
      ++ticks_;
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        TickNode(i);
    }
  }
  template <typename F>
  double RunUntil(F&& reached, duration limit) {
    const auto start = now_;
    while (!reached() && now_ - start < limit)
      Run(kTickInterval);
    return std::chrono::duration<double>(now_ - start).count();
  }

  std::vector<node>& nodes() { return nodes_; }
  const std::vector<node>& nodes() const { return nodes_; }
  // Sets the probability, 0 to 1, that a datagram is lost.
  void SetLoss(double loss) { loss_ = loss; }
  time_point now() const { return now_; }
  void ResetCounts() {
    for (auto& each : nodes_)
      each.sent_bytes = each.received_bytes = each.messages = 0;
  }
  // Whether all running nodes in the region of `subject` have declared it dead,
  // or have removed it.
  bool DeclaredDeadByRegion(std::size_t subject) const {
    return std::ranges::all_of(nodes_, [&](const node& each) {
      if (!each.up || each.region != nodes_[subject].region)
        return true;
      const auto* known = each.core->table().Find(nodes_[subject].name);
      return known == nullptr || known->state == member_state::kDead;
    });
  }
  void SetConfig(std::size_t subject, std::uint64_t version) {
    nodes_[subject].config = version;
    UpdateSelf(nodes_[subject]);
  }
  bool AllHaveConfig(std::uint64_t version) const {
    return std::ranges::all_of(nodes_, [version](const node& each) {
      return !each.up || each.config >= version;
    });
  }

 private:
  void AddNode(int number, int regions) {
    node added;
    added.name = fmt::format("entry-{:05}", number);
    added.address = fmt::format("10.0.{}.{}:7000", number / 250, number % 250);
    added.region = number % regions;
    member self;
    self.name = added.name;
    self.region = fmt::format("region-{:02}", added.region);
    self.failure_domain = fmt::format("{}-a", self.region);
    self.caller_address = self.operator_address = self.peer_address =
        added.address;
    self.incarnation = 1;
    added.core = std::make_unique<membership_core>(
        self, options_, now_,
        wall_time(now_.time_since_epoch() + std::chrono::hours(500000)),
        static_cast<std::uint64_t>(number));
    // The seeds are the first node of the fleet and the first node of the own
    // region.
    added.core->AddSeeds({"10.0.0.0:7000"});
    if (number >= regions)
      added.core->AddSeeds(
          {nodes_[static_cast<std::size_t>(number % regions)].address});
    by_address_[added.address] = nodes_.size();
    nodes_.push_back(std::move(added));
  }

  void UpdateSelf(node& each) {
    member_digest digest;
    digest.config_version = each.config;
    for (std::uint32_t service = 0; service < 4; ++service)
      digest.loads.push_back({service, static_cast<std::uint16_t>(ticks_), 3});
    each.core->SetSelf(digest, each.config);
  }

  void TickNode(std::size_t index) {
    auto& each = nodes_[index];
    if (!each.up)
      return;
    // Each node does so once a second, but not all at the same time.
    if ((ticks_ + index) % 10 == 0)
      UpdateSelf(each);
    each.core->Tick(now_);
    Flush(index);
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.top().due <= now_) {
      const auto due = in_flight_.top();
      in_flight_.pop();
      auto& to = nodes_[due.to];
      if (!to.up)
        continue;
      const auto& from = nodes_[due.from];
      to.received_bytes += due.payload.size() + kDatagramOverheadBytes;
      to.core->Receive(due.kind, {from.name, 1, from.address, due.payload},
                       due.due);
      Flush(due.to);
    }
  }

  void Flush(std::size_t index) {
    auto& each = nodes_[index];
    for (auto& message : each.core->TakeOutgoing()) {
      each.sent_bytes += message.payload.size() + kDatagramOverheadBytes;
      ++each.messages;
      const auto to = by_address_.find(message.address);
      if (to == by_address_.end() || IsLost())
        continue;
      const bool same_region = nodes_[to->second].region == each.region;
      in_flight_.push({now_ + milliseconds(same_region ? 1 : 30), ++order_,
                       index, to->second, message.kind,
                       std::move(message.payload)});
    }
    for (const auto& event : each.core->TakeEvents()) {
      const auto* seen = std::get_if<peer_config_seen>(&event);
      if (seen != nullptr && seen->version > each.config) {
        each.config = seen->version;
        UpdateSelf(each);
      }
    }
  }

  bool IsLost() {
    return loss_ > 0 && std::uniform_real_distribution<>(0, 1)(random_) < loss_;
  }

  const membership_options options_;
  double loss_ = 0;
  std::mt19937_64 random_{1};
  std::vector<node> nodes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<datagram, std::vector<datagram>, std::greater<>>
      in_flight_;
  time_point now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::uint64_t ticks_ = 0;
};

}  // namespace samphire

#endif  // BENCH_MEMBERSHIP_FLEET_H_
