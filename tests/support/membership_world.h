#ifndef MEMBERSHIP_MEMBERSHIP_WORLD_H_
#define MEMBERSHIP_MEMBERSHIP_WORLD_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "membership/membership_core.h"
#include "support/fake_peer_network.h"
#include "support/fake_peer_transport.h"

namespace samphire {

// Entries on a fake network in simulated time. An entry's address is its name.
class membership_world {
 public:
  explicit membership_world(std::uint64_t seed) : network(seed), seed_(seed) {}

  void Start(const std::string& name,
             const std::string& region,
             const std::string& seed_address,
             std::uint64_t incarnation = 1);
  // `count` entries named REGION-0 and so on, which join by the first one.
  void StartRegion(const std::string& region,
                   int count,
                   const std::string& seed_address);
  // The process dies without a word.
  void Crash(const std::string& name) { nodes_.erase(name); }
  // The process stands still: it neither ticks nor reads, and its datagrams
  // wait for it.
  void Pause(const std::string& name) { nodes_.at(name).paused = true; }
  void Resume(const std::string& name);

  void Run(duration time);
  // Runs until `reached` holds and returns how long that took; at most `limit`.
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
  // How many of `region` hold `name` for `state`, itself left out.
  int Seeing(const std::string& region,
             const std::string& name,
             member_state state);
  // Whether all of `region` know exactly `count` working entries.
  bool Agreed(const std::string& region, std::size_t count);
  int Events(const std::string& name, member_state state) const;

  fake_peer_network network;

 private:
  struct node {
    std::unique_ptr<fake_peer_transport> transport;
    std::unique_ptr<membership_core> core;
    std::string region;
    bool paused = false;
    std::vector<std::pair<message_kind, peer_message>> waiting;
    std::vector<membership_event> events;
  };

  void Flush(node& sender);

  std::uint64_t seed_;
  std::map<std::string, node> nodes_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_WORLD_H_
