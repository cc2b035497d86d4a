#include "distribution/instance_follower.h"

#include <fmt/format.h>

#include <utility>

namespace samphire {

instance_follower::instance_follower(object_store& store,
                                     config_peer_source& peers,
                                     metrics& metrics,
                                     const follower_limits& limits,
                                     on_instances slot)
    : store_(store),
      peers_(peers),
      metrics_(metrics),
      limits_(limits),
      slot_(std::move(slot)) {}

instance_follower::~instance_follower() {
  Stop();
}

void instance_follower::Start() {
  thread_.Start([this] { return Step(); });
}

void instance_follower::Stop() {
  thread_.Stop();
}

void instance_follower::SetWatching(bool watching) {
  // Told at every tick: only a change is worth a read of the list.
  if (watching_.exchange(watching) != watching)
    thread_.Wake();
}

std::optional<instance_list> instance_follower::Answer(
    const std::string& known) const {
  std::lock_guard guard(lock_);
  if (list_.digest == known)
    return std::nullopt;
  return list_;
}

// An entry that no peer answers, such as the first one of a fleet, reads the
// platform's list itself.
duration instance_follower::Step() {
  if (watching_ || !AskPeer())
    ReadPlatform();
  return watching_ ? limits_.watcher_instances_every
                   : limits_.peer_instances_every;
}

bool instance_follower::ReadPlatform() {
  auto read = store_.Instances();
  if (!read) {
    metrics_.Count("instance_list_failures_total",
                   fmt::format("reason=\"{}\"", NameOf(read.error().code)));
    return false;
  }
  Take(MakeInstanceList(std::move(read.value())));
  return true;
}

bool instance_follower::AskPeer() {
  const auto peers = peers_.Peers();
  if (peers.empty())
    return false;
  std::string known;
  {
    std::lock_guard guard(lock_);
    known = list_.digest;
  }
  auto told = peers_.Instances(peers[turn_++ % peers.size()], known);
  if (!told) {
    metrics_.Count("instance_list_failures_total",
                   fmt::format("reason=\"{}\"", NameOf(told.error().code)));
    return false;
  }
  if (told.value())
    Take(*told.value());
  return true;
}

// A list of nobody at all is a platform that lost its state or a peer that has
// none yet. Taken for true it would make every instance look gone at once.
void instance_follower::Take(const instance_list& list) {
  if (list.instances.empty()) {
    metrics_.Count("instance_list_failures_total", "reason=\"empty\"");
    return;
  }
  {
    std::lock_guard guard(lock_);
    if (list.digest == list_.digest)
      return;
    list_ = list;
  }
  slot_(list.instances);
}

}  // namespace samphire
