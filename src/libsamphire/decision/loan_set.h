#ifndef DECISION_LOAN_SET_H_
#define DECISION_LOAN_SET_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock_source.h"
#include "decision/borrowed_loan.h"

namespace samphire {

// The slots that one entry has borrowed for one service. Each is idle or busy
// with one request. Not thread-safe.
class loan_set {
 public:
  void Add(const borrowed_loan& loan);
  // Extends a loan; unknown ids are ignored. A loan is never shortened.
  void Renew(std::uint64_t id, time_point usable_until);
  bool Contains(std::uint64_t id) const;

  // Returns an idle loan on the target that may start work of up to `longest`.
  std::optional<std::uint64_t> FindIdle(std::string_view target,
                                        duration longest,
                                        time_point now) const;
  void SetBusy(std::uint64_t id, bool busy);
  // Returns whether an idle loan on the target may start some work.
  bool HasIdle(std::string_view target, time_point now) const;

  // Removes the idle loans that have expired or for which `drop` returns true,
  // and returns their ids.
  template <typename F>
  std::vector<std::uint64_t> RemoveIdle(time_point now, const F& drop) {
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

  // Number of loans, and of idle loans that may still start work.
  std::size_t size() const { return loans_.size(); }
  std::uint32_t idle(time_point now) const;
  // The next time at which an idle loan expires; none without idle loans.
  std::optional<time_point> next_expiry() const;

 private:
  struct entry {
    borrowed_loan loan;
    bool busy = false;
  };
  std::vector<entry> loans_;
};

}  // namespace samphire

#endif  // DECISION_LOAN_SET_H_
