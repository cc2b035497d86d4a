#ifndef MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
#define MEMBERSHIP_MEMBERSHIP_SIMULATION_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership_core.h"
#include "support/fake_peer_network.h"
#include "support/fake_peer_transport.h"

namespace samphire {

// Runs the membership protocol of several entries on a fake network in
// simulated time. The address of an entry is its name. Not thread-safe.
class membership_simulation {
 public:
  explicit membership_simulation(std::uint64_t seed)
      : network(seed), seed_(seed) {}

  // Starts an entry that joins through `seed_address`. Replaces an entry of the
  // same name, as after a restart, for which `incarnation` should be higher.
  void Start(const std::string& name,
             const std::string& region,
             const std::string& seed_address,
             std::uint64_t incarnation = 1);
  // Starts `count` entries named REGION-0, REGION-1 and so on, which join
  // through `seed_address`.
  void StartRegion(const std::string& region,
                   int count,
                   const std::string& seed_address);
  // Stops an entry without notice to the others.
  void Crash(const std::string& name) { nodes_.erase(name); }
  // Freezes an entry: it neither ticks nor receives, and datagrams to it are
  // queued until it resumes.
  void Pause(const std::string& name) { nodes_.at(name).paused = true; }
  void Resume(const std::string& name);

  // Advances the simulated time; entries tick every 100 ms.
  void Run(duration time);
  // Runs until `reached` returns true, checked every 100 ms, or for `limit`.
  // Returns the simulated time that has passed.
  template <typename F>
  duration RunUntil(F&& reached, duration limit) {
    const auto start = network.now();
    while (!reached() && network.now() - start < limit)
      Run(milliseconds(100));
    return network.now() - start;
  }

  membership_core& Core(const std::string& name) {
    return *nodes_.at(name).core;
  }
  std::vector<std::string> Names() const;
  // Returns how many entries of `region`, except `name` itself, see `name` in
  // `state`.
  int CountMembersSeeing(const std::string& region,
                         const std::string& name,
                         member_state state);
  // Returns whether all entries of `region` see exactly `count` working
  // entries.
  bool HasConverged(const std::string& region, std::size_t count);
  // Returns how many changes of a member to `state` the entry `name` has
  // reported.
  int CountEvents(const std::string& name, member_state state) const;

  fake_peer_network network;
  // Of the entries that are started from now on.
  membership_options options;

 private:
  struct node {
    std::unique_ptr<fake_peer_transport> transport;
    std::unique_ptr<membership_core> core;
    std::string region;
    bool paused = false;
    std::vector<std::pair<message_kind, peer_message>> queued_messages;
    std::vector<membership_event> events;
  };

  // Sends the outgoing messages of a node and collects its events. Throws
  // std::length_error if a message exceeds the limit of a datagram.
  void Flush(node& sender);

  std::uint64_t seed_;
  std::map<std::string, node> nodes_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_SIMULATION_H_
