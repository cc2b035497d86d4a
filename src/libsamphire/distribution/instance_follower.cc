#include "distribution/instance_follower.h"

#include <fmt/format.h>

#include <utility>

namespace samphire {

instance_follower::instance_follower(object_store& store,
                                     config_peer_source& peers,
                                     metrics& metrics,
                                     const follower_limits& limits,
                                     instances_callback callback)
    : store_(store),
      peers_(peers),
      metrics_(metrics),
      limits_(limits),
      callback_(std::move(callback)) {}

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
  // Called at every tick; only a change of the role is worth a read of the
  // list.
  if (watching_.exchange(watching) != watching)
    thread_.Wake();
}

std::optional<instance_list> instance_follower::ListIfChanged(
    const std::string& known) const {
  std::lock_guard guard(lock_);
  if (list_.digest == known)
    return std::nullopt;
  return list_;
}

// An entry that gets no response from a peer, such as the first one of a fleet,
// reads the platform's list itself.
duration instance_follower::Step() {
  if (watching_ || !QueryPeer())
    ReadPlatform();
  return watching_ ? limits_.watcher_instances_interval
                   : limits_.peer_instances_interval;
}

bool instance_follower::ReadPlatform() {
  auto read = store_.Instances();
  if (!read) {
    metrics_.Count("instance_list_failures_total",
                   fmt::format("reason=\"{}\"", NameOf(read.error().code)));
    return false;
  }
  AcceptList(MakeInstanceList(std::move(read.value())));
  return true;
}

bool instance_follower::QueryPeer() {
  const auto peers = peers_.Peers();
  if (peers.empty())
    return false;
  std::string known;
  {
    std::lock_guard guard(lock_);
    known = list_.digest;
  }
  auto response = peers_.Instances(peers[next_peer_++ % peers.size()], known);
  if (!response) {
    metrics_.Count("instance_list_failures_total",
                   fmt::format("reason=\"{}\"", NameOf(response.error().code)));
    return false;
  }
  if (response.value())
    AcceptList(*response.value());
  return true;
}

// An empty list means that the platform lost its state or that a peer has no
// list yet. Accepting it would make every instance look gone at once.
void instance_follower::AcceptList(const instance_list& list) {
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
  callback_(list.instances);
}

}  // namespace samphire
