#include "support/membership_simulation.h"

#include <algorithm>

namespace samphire {

void membership_simulation::Start(const std::string& name,
                                  const std::string& region,
                                  const std::string& seed_address,
                                  std::uint64_t incarnation) {
  member self;
  self.name = self.caller_address = self.peer_address = name;
  self.region = region;
  self.incarnation = incarnation;
  nodes_.erase(name);
  auto& added = nodes_[name];
  added.region = region;
  added.core = std::make_unique<membership_core>(
      self, options, network.now(),
      wall_time(network.now().time_since_epoch() + std::chrono::hours(500000)),
      ++seed_);
  added.core->AddSeeds({seed_address});
  added.transport =
      std::make_unique<fake_peer_transport>(network, name, name, incarnation);
  for (const auto& [kind, kind_name] : kMessageKindNames) {
    const auto received = kind;
    added.transport->OnMessage(
        received, [this, received, &added](const peer_message& message) {
          if (added.paused) {
            added.queued_messages.emplace_back(received, message);
            return;
          }
          added.core->Receive(received, message, network.now());
          Flush(added);
        });
  }
}

void membership_simulation::StartRegion(const std::string& region,
                                        int count,
                                        const std::string& seed_address) {
  for (int i = 0; i < count; ++i)
    Start(region + "-" + std::to_string(i), region, seed_address);
}

void membership_simulation::Resume(const std::string& name) {
  auto& resumed = nodes_.at(name);
  resumed.paused = false;
  resumed.core->Tick(network.now());
  for (const auto& [kind, message] : std::exchange(resumed.queued_messages, {}))
    resumed.core->Receive(kind, message, network.now());
  Flush(resumed);
}

void membership_simulation::Run(duration time) {
  const auto end = network.now() + time;
  while (network.now() < end) {
    network.RunUntil(network.now() + milliseconds(100));
    for (auto& [name, ticking] : nodes_) {
      if (ticking.paused)
        continue;
      ticking.core->Tick(network.now());
      Flush(ticking);
    }
  }
}

void membership_simulation::Flush(node& sender) {
  for (const auto& message : sender.core->TakeOutgoing()) {
    const auto sent =
        sender.transport->Send(message.address, message.kind, message.payload);
    if (!sent)
      throw std::length_error(
          "membership message exceeds the size limit of a datagram");
  }
  for (auto& event : sender.core->TakeEvents())
    sender.events.push_back(std::move(event));
}

std::vector<std::string> membership_simulation::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : nodes_)
    names.push_back(name);
  return names;
}

int membership_simulation::CountMembersSeeing(const std::string& region,
                                              const std::string& name,
                                              member_state state) {
  int count = 0;
  for (const auto& [other, node] : nodes_) {
    const auto* known = node.core->table().Find(name);
    if (other != name && node.region == region && known != nullptr &&
        known->state == state) {
      ++count;
    }
  }
  return count;
}

bool membership_simulation::HasConverged(const std::string& region,
                                         std::size_t count) {
  return std::ranges::all_of(nodes_, [&](const auto& entry) {
    return entry.second.region != region ||
           entry.second.core->table().AliveMembers().size() == count;
  });
}

int membership_simulation::CountEvents(const std::string& name,
                                       member_state state) const {
  return static_cast<int>(std::ranges::count_if(
      nodes_.at(name).events, [state](const membership_event& event) {
        const auto* change = std::get_if<member_changed>(&event);
        return change != nullptr && change->now.state == state;
      }));
}

}  // namespace samphire
