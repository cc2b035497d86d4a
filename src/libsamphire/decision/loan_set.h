#ifndef DECISION_LOAN_SET_H_
#define DECISION_LOAN_SET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock_source.h"
#include "decision/held_loan.h"

namespace samphire {

// The borrowed slots of one entry for one service.
class loan_set {
 public:
  void Add(const held_loan& loan);
  void Renew(std::uint64_t id, time_point usable_until);
  bool Contains(std::uint64_t id) const;

  // An idle loan on the target that may start work of this length.
  std::optional<std::uint64_t> FindIdle(std::string_view target,
                                        duration longest,
                                        time_point now) const;
  void SetBusy(std::uint64_t id, bool busy);
  bool HasIdle(std::string_view target, time_point now) const;

  // Takes out the idle loans that `drop` speaks against or that have run out.
  template <typename F>
  std::vector<std::uint64_t> TakeIdle(time_point now, const F& drop) {
    std::vector<std::uint64_t> taken;
    std::erase_if(loans_, [&](const entry& candidate) {
      const bool gone =
          !candidate.busy &&
          (candidate.loan.usable_until <= now || drop(candidate.loan));
      if (gone)
        taken.push_back(candidate.loan.id);
      return gone;
    });
    return taken;
  }

  std::size_t size() const { return loans_.size(); }
  std::uint32_t idle(time_point now) const;
  // The next time at which an idle loan runs out.
  std::optional<time_point> next_expiry() const;

 private:
  struct entry {
    held_loan loan;
    bool busy = false;
  };
  std::vector<entry> loans_;
};

}  // namespace samphire

#endif  // DECISION_LOAN_SET_H_
