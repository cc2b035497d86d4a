#ifndef ALLOWANCE_SEAT_KEEPER_H_
#define ALLOWANCE_SEAT_KEEPER_H_

#include <mutex>
#include <string>
#include <vector>

#include "allowance/seat_keeper_state.h"
#include "allowance/seat_user.h"
#include "base/stoppable_thread.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Keeps one entry's seats of its region: runs what seat_keeper_state decides,
// in a thread of its own.
class seat_keeper {
 public:
  seat_keeper(object_store& store,
              const clock_source& clock,
              metrics& metrics,
              std::string region,
              seat_keeper_state state,
              seat_user& user);
  ~seat_keeper();

  void Start();
  void Stop();

  void SetSeats(std::uint32_t count, duration quarantine);
  // Cheap when nothing changed, so it may be told at every gossip round.
  void SetMembers(const std::vector<std::string>& members);
  // Gives up every seat as it becomes idle; `held` tells when that is done.
  void Leave();

  std::size_t held() const;
  std::vector<std::uint32_t> Usable() const;
  std::vector<std::uint32_t> Stranded() const;

  // One step of the thread; returns how long to wait before the next.
  duration Step();

 private:
  struct action_runner;

  void ListSeats();
  void ListInstances();
  void Write(const write_seat& write);
  // Tells the user, if its seats have changed.
  void TellUser(const seat_keeper_state& state);
  void CountError(const error& why);
  template <typename F>
  auto WithState(F&& use);
  seat_keeper_state Snapshot() const;

  object_store& store_;
  const clock_source& clock_;
  metrics& metrics_;
  const std::string region_;
  seat_user& user_;
  mutable std::mutex lock_;
  seat_keeper_state state_;
  // Of the thread alone.
  std::vector<std::uint32_t> told_;
  std::vector<waiting_seat> told_waiting_;
  std::uint64_t lost_ = 0;
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_KEEPER_H_
