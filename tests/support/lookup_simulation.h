#ifndef TESTS_SUPPORT_LOOKUP_SIMULATION_H_
#define TESTS_SUPPORT_LOOKUP_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/membership_simulation.h"
#include "traffic/following/entry_list_builder.h"

namespace samphire {

// The entries of one region in simulated time, with the lists that their
// look-ups answer from. Not thread-safe.
class lookup_simulation {
 public:
  // `unlisting_time` is the time after which no look-up may name an entry that
  // has ended.
  lookup_simulation(std::uint64_t seed, milliseconds unlisting_time);

  // Starts `count` entries named r-0, r-1 and so on, and runs until they are
  // ready and know each other.
  void StartRegion(int count);
  // Starts an entry, which is not ready yet; a later process of a name that ran
  // before.
  void Start(const std::string& name);
  // Makes an entry ready to serve callers.
  void MakeReady(const std::string& name);
  // Lets an entry announce that it leaves, without ending it.
  void Leave(const std::string& name);
  void Crash(const std::string& name);
  void Crash(const std::vector<std::string>& names);

  void Run(duration time) { world.Run(time); }
  // Returns the entries that a look-up at `name` names.
  std::set<std::string> NamedBy(const std::string& name);
  // Returns whether a look-up at any running entry names one of `names`.
  bool AnyNames(const std::vector<std::string>& names);
  // Returns whether look-ups at all running entries name `name`.
  bool AllName(const std::string& name);
  // Returns how many entries share the region's limits and keys in the view of
  // `name`.
  std::size_t CountShares(const std::string& name);
  // Returns the time until no look-up names any of `names`, `limit` at most.
  duration TimeUntilUnnamed(const std::vector<std::string>& names,
                            duration limit);
  // Returns the time until the look-ups of all entries name `name`, `limit` at
  // most.
  duration TimeUntilNamed(const std::string& name, duration limit);

  membership_simulation world;

 private:
  struct lookup_state {
    std::unique_ptr<entry_list_builder> builder;
    bool ready = false;
    bool leaving = false;
  };
  boost::intrusive_ptr<const entry_list> ListOf(const std::string& name);

  std::map<std::string, lookup_state> states_;
  std::map<std::string, std::uint64_t> incarnations_;
};

// Returns the names of the first `count` entries of a region from `first`.
std::vector<std::string> RegionNames(int first, int count);

}  // namespace samphire

#endif  // TESTS_SUPPORT_LOOKUP_SIMULATION_H_
