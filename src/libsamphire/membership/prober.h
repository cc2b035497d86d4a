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
#include "membership/ring_watch.h"

namespace samphire {

// Decides which members are probed and when, and which of them did not answer.
// Does no I/O: it returns the messages to send and is given the acks that
// arrive. Not thread-safe.
class prober {
 public:
  // What the caller has to do: send a ping, or a probe with or without gossip,
  // ask a helper for an indirect probe, or mark the member as suspected.
  enum class action_kind {
    kPing,
    kProbe,
    kProbeWithGossip,
    kRequestIndirectProbe,
    kSuspect
  };
  struct probe_action {
    action_kind kind = action_kind::kPing;
    std::uint64_t id = 0;
    // Name of the member that is probed or suspected.
    std::string subject;
    // Name of the member that is asked to probe `subject`, for
    // kRequestIndirectProbe.
    std::string helper;
  };
  // A probe made on behalf of another member: the address that its ack is
  // forwarded to, and the id under which that member requested it.
  struct relay {
    std::string address;
    std::uint64_t id = 0;
  };

  // `random` must outlive this object.
  prober(const membership_options& options,
         time_point now,
         std::mt19937_64& random);

  // Returns what is due at `now`.
  std::vector<probe_action> Tick(const membership_table& table, time_point now);
  // Processes the ack of probe `id`. Returns the requester to forward it to, if
  // the probe was made on behalf of another member.
  std::optional<relay> OnAck(std::uint64_t id);
  // Tells that a message of a member has arrived, which proves that it runs.
  void OnHeard(const std::string& name);
  // Records a probe on behalf of another member and returns its id.
  std::uint64_t AddRelay(relay requester, time_point now);
  // Drops all pending probes, also those on behalf of other members: they went
  // unanswered because this process was paused, not because of their subjects.
  void Reset(time_point now);

 private:
  struct pending_probe {
    std::string subject;
    // When the subject is probed again, and when it becomes suspected.
    time_point retry_at;
    time_point expires_at;
    int retries = 0;
  };
  struct pending_relay {
    relay requester;
    time_point expires_at;
  };

  void StartProbe(const membership_table& table,
                  time_point now,
                  std::vector<probe_action>& actions);
  void ExamineProbes(const membership_table& table,
                     time_point now,
                     std::vector<probe_action>& actions);
  void Retry(const membership_table& table,
             std::uint64_t id,
             pending_probe& probe,
             time_point now,
             std::vector<probe_action>& actions);
  void RequestIndirectProbes(const membership_table& table,
                             std::uint64_t id,
                             const std::string& subject,
                             std::vector<probe_action>& actions);
  // Returns the members whose probes have not been answered in time so far.
  std::set<std::string> DoubtfulMembers() const;
  bool IsProbing(const std::string& name) const;
  void ReprobeUnresponsive(const membership_table& table,
                           time_point now,
                           std::vector<probe_action>& actions);
  void Probe(const std::string& subject,
             action_kind kind,
             time_point now,
             std::vector<probe_action>& actions);
  std::optional<std::string> NextSubject(const membership_table& table);

  const membership_options options_;
  std::mt19937_64& random_;
  time_point next_probe_;
  ring_watch watch_;
  std::uint64_t last_id_ = 0;
  // Members still to be probed in this round.
  std::vector<std::string> probe_round_;
  // Members that did not answer the probes of this entry, as opposed to those
  // that other members suspect.
  std::set<std::string> unresponsive_;
  std::map<std::uint64_t, pending_probe> probes_;
  std::map<std::uint64_t, pending_relay> relays_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_PROBER_H_
