#ifndef SEATS_SEAT_WORLD_H_
#define SEATS_SEAT_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "allowance/seat_keeper_state.h"

namespace samphire {

// Several entries' seat keepers on one platform, in simulated time, with every
// fault that the platform and the instances are known for.
class seat_world {
 public:
  static constexpr std::uint32_t kSeats = 6;
  static constexpr milliseconds kQuarantine{20'000};

  static constexpr milliseconds kStep{100};

  // How far reads of the list may lag, and whether entries may be deaf to
  // others that are alive.
  seat_world(std::uint32_t seed, milliseconds list_lag, bool deafness)
      : random_(seed), list_lag_(list_lag), deafness_(deafness) {}

  void StartInstance(const std::string& name);
  // The process dies; with `replace` its instance too, and a new one comes.
  void Kill(std::size_t index, bool replace);
  void Run(milliseconds by, bool faults);

  // Empty, or what went wrong first.
  std::string violation;
  std::size_t calls = 0;

  struct entry {
    std::string name;
    seat_keeper_state state;
    // What was decided and not yet done; what was done and not yet told.
    std::optional<seat_action> decided;
    std::function<void(time_point)> answer;
    time_point paused_until{};
    milliseconds lag{};
    std::string deaf_to;
    time_point deaf_until{};
    // Seats on which nothing ran when their release was decided.
    std::set<std::uint32_t> idle;
  };
  std::vector<std::unique_ptr<entry>> entries;
  seat_views seats;

  time_point now() const { return now_; }
  std::vector<std::string> Names() const;
  bool AllUsable() const;

 private:
  struct late_write {
    time_point lands_at;
    write_seat write;
  };

  bool Chance(int percent) { return random_() % 100 < unsigned(percent); }
  void Advance(entry& one, bool faults);
  void Do(entry& one, const seat_action& action, bool faults);
  void DoWrite(entry& one, const write_seat& write, bool faults);
  std::optional<std::uint64_t> Land(const write_seat& write);
  std::vector<instance_info> ListedAt(time_point at) const;
  void Judge();

  std::vector<std::string> HeardBy(entry& one, bool faults);

  std::mt19937 random_;
  const milliseconds list_lag_;
  const bool deafness_;
  time_point now_ = time_point(std::chrono::hours(100));
  std::uint64_t revision_ = 0;
  std::uint64_t next_incarnation_ = 1;
  int next_name_ = 0;
  std::vector<late_write> late_;
  // The platform's list over time.
  std::deque<std::pair<time_point, std::vector<std::string>>> lists_;
  std::vector<std::string> listed_;
  // When the last process died that may have left work on a seat.
  std::map<std::uint32_t, time_point> work_left_;
};

}  // namespace samphire

#endif  // SEATS_SEAT_WORLD_H_
