#ifndef ALLOWANCE_SEAT_KEEPER_STATE_H_
#define ALLOWANCE_SEAT_KEEPER_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "allowance/seat_action.h"
#include "allowance/seat_holder_watch.h"
#include "allowance/seat_limits.h"
#include "allowance/seat_shares.h"
#include "allowance/seat_view.h"
#include "allowance/waiting_seat.h"

namespace samphire {

// Decides which seats of its region one entry claims, uses and gives up. Pure:
// it is told what happened and says what to do next.
class seat_keeper_state {
 public:
  seat_keeper_state(std::string self,
                    std::string region,
                    std::uint64_t incarnation,
                    const seat_limits& limits,
                    time_point start);

  // From the configuration: how many seats the region has, and how long a
  // predecessor's loans and requests may go on (T, drift, longest deadline).
  void SetSeats(std::uint32_t count, duration quarantine);
  // The region's live entries, as membership sees them.
  void SetMembers(const std::vector<std::string>& members, time_point now);
  // From now on every seat is given up as soon as it is idle.
  void SetLeaving(time_point now);

  void OnSeats(const seat_views& seats, time_point now);
  void OnInstances(const std::vector<instance_info>& instances, time_point now);
  // A write was done and gave the seat this version.
  void OnWritten(const write_seat& write,
                 std::uint64_t version,
                 time_point now);
  // Refused by the version check, or nobody knows.
  void OnNotWritten(time_point now);
  // A call failed, and surely had no effect.
  void OnStoreError(time_point now);

  // `is_idle` tells whether a seat that is being given up is used no more.
  seat_action Next(time_point now,
                   const std::function<bool(std::uint32_t)>& is_idle) const;

  // The seats whose slots may be used, in order.
  std::vector<std::uint32_t> Usable(time_point now) const;
  // Own seats whose wait is not over.
  std::vector<waiting_seat> Waiting(time_point now) const;
  // When the next quarantine ends, if one runs.
  std::optional<time_point> NextUsableAt(time_point now) const;
  // Whether an own seat is being given up and not yet released.
  bool IsLettingGo(std::uint32_t seat) const {
    const auto found = own_.find(seat);
    return found != own_.end() && found->second.letting_go;
  }
  // Own seats, usable or not.
  std::size_t held() const { return own_.size(); }
  // Seats whose holder is listed as live, but which no peer hears: stranded
  // until it restarts or is gone.
  std::vector<std::uint32_t> Stranded() const;
  // How many own seats turned out to be somebody else's.
  std::uint64_t lost() const { return lost_; }

 private:
  struct own_seat {
    std::uint64_t version = 0;
    time_point usable_at;
    bool letting_go = false;
    time_point claimed_at;
  };

  void TakeOver(std::uint32_t number, const seat_view& seat, time_point now);
  void CompareOwn(time_point now);
  void LetGo();
  void NoteVacant(time_point now);
  void Hurry(time_point now);
  std::optional<write_seat> Release(
      time_point now,
      const std::function<bool(std::uint32_t)>& is_idle) const;
  std::optional<write_seat> Claim(time_point now) const;
  bool MayTake(std::uint32_t number,
               const seat_shares& shares,
               time_point now) const;
  write_seat MakeClaim(std::uint32_t number, const seat_view& seat) const;
  const seat_view& SeatAt(std::uint32_t number) const;
  bool AnyLettingGo() const;
  bool IsOwn(const seat_record& record) const;
  bool IsOwnBefore(const seat_record& record) const;
  bool IsVacant(const seat_record& record) const;
  // Whether the holder is an entry that no peer hears.
  bool IsSilent(const seat_record& record) const;
  // The silent holders that this entry asks the platform's list about.
  std::vector<std::string> Questionable() const;
  bool NeedsInstances() const;
  bool Settled() const;
  time_point WakeAt(time_point now) const;
  seat_shares Shares() const;

  const std::string self_;
  const std::string region_;
  const std::uint64_t incarnation_;
  const seat_limits limits_;
  std::uint32_t count_ = 0;
  duration quarantine_{0};
  std::set<std::string> members_;
  std::set<std::string> listed_;
  bool leaving_ = false;
  std::map<std::uint32_t, own_seat> own_;
  seat_views seats_;
  // Since when a seat was seen vacant without a break.
  std::map<std::uint32_t, time_point> vacant_since_;
  seat_holder_watch holders_;
  // Whether the view is as good as the last read: no write failed since.
  bool fresh_ = false;

  std::uint64_t lost_ = 0;
  time_point list_at_;
  time_point instances_at_;
  milliseconds busy_every_;
};

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_KEEPER_STATE_H_
