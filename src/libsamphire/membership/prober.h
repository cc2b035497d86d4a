#ifndef MEMBERSHIP_PROBER_H_
#define MEMBERSHIP_PROBER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/membership_options.h"
#include "membership/membership_table.h"

namespace samphire {

// Decides whom to probe when, and who did not answer. Pure: it says what to
// send, and is told what came.
class prober {
 public:
  enum class action { kProbe, kAskHelper, kSuspect };
  struct order {
    action what = action::kProbe;
    std::uint64_t id = 0;
    // Who is probed or suspected.
    std::string subject;
    // Who is asked to probe it, for kAskHelper.
    std::string helper;
  };
  // A probe made for another member: where its ack goes on to.
  struct relay {
    std::string address;
    std::uint64_t id = 0;
  };

  prober(const membership_options& options,
         time_point now,
         std::mt19937_64& random);

  std::vector<order> Tick(const membership_table& table, time_point now);
  // The ack of `id` came. Returns where it is to be passed on to, if anywhere.
  std::optional<relay> OnAck(std::uint64_t id);
  // Notes a probe on behalf of another member and returns its id.
  std::uint64_t AddRelay(relay asked, time_point now);
  // Forgets all probes under way: their time is over for a reason of our own.
  void Reset(time_point now);

 private:
  struct pending_probe {
    std::string subject;
    time_point ask_at;
    time_point give_up_at;
    bool asked = false;
  };
  struct pending_relay {
    relay asked;
    time_point give_up_at;
  };

  void StartProbe(const membership_table& table,
                  time_point now,
                  std::vector<order>& orders);
  void AskHelpers(const membership_table& table,
                  std::uint64_t id,
                  pending_probe& probe,
                  std::vector<order>& orders);
  void Recheck(const membership_table& table,
               time_point now,
               std::vector<order>& orders);
  void Probe(const std::string& subject,
             time_point now,
             std::vector<order>& orders);
  std::optional<std::string> NextSubject(const membership_table& table);

  const membership_options options_;
  std::mt19937_64& random_;
  time_point next_probe_;
  std::uint64_t last_id_ = 0;
  std::vector<std::string> round_;
  // Those whose silence this entry noticed itself.
  std::set<std::string> silent_;
  std::map<std::uint64_t, pending_probe> probes_;
  std::map<std::uint64_t, pending_relay> relays_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_PROBER_H_
