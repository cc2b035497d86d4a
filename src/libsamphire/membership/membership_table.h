#ifndef MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock_source.h"
#include "membership/member.h"
#include "membership/member_update.h"
#include "membership/membership_message.h"
#include "membership/membership_options.h"

namespace samphire {

// What one entry knows of the members of its region, itself included. Does no
// I/O and reads no clock: the time is a parameter. Not thread-safe.
class membership_table {
 public:
  // What a report on a member changed.
  enum class merge_result {
    kNone,
    // The member changed; other members should get an update.
    kChanged,
    // Other members suspect this process or have declared it dead. It has
    // raised its refutation count; the caller sends the refutation.
    kSuspicionRefuted,
    // A process that started later runs under this process's name.
    kProcessReplaced,
    // An update on a member without a record; the caller requests the record.
    kUnknownMember,
  };

  membership_table(member self, const membership_options& options);

  // Each takes in a report from a peer, unless what is known is newer.
  merge_result MergeRecord(const member& seen, time_point now);
  merge_result MergeUpdate(const member_update& seen, time_point now);
  void MergeDigest(const member_digest& seen, time_point now);
  // Records that a message of the process `incarnation` of a member arrived.
  void Heard(std::string_view name, std::uint64_t incarnation, time_point now);
  // Marks a member that did not answer probes as suspected. One that is leaving
  // stays so, and is declared dead after the same time.
  merge_result MarkSuspected(const std::string& name, time_point now);

  // Declares suspected members dead whose time for a refutation is over, and
  // removes members that have been dead for the retention time. Returns the
  // names of those declared dead.
  std::vector<std::string> Expire(time_point now);
  // Moves all pending timers of suspected and dead members `by` later.
  void PostponeTimers(duration by);

  // Set the own record. The caller has to tell other members of the change.
  // SetDigest assigns the process id and the next sequence itself, and keeps
  // only the first kMaxServiceLoads loads.
  void SetState(member_state state);
  void SetDigest(member_digest digest);

  const member& self() const { return self_; }
  // Returns the member of that name, this entry included, or null.
  const member* Find(std::string_view name) const;
  // All known members except this entry, dead ones included, in the order of
  // their names.
  const std::map<std::string, member, std::less<>>& other_members() const {
    return other_members_;
  }
  // Names of the other members that are not declared dead, which are those that
  // are probed.
  std::vector<std::string> ProbedMembers() const;
  // Names of the members that accept work, possibly including this entry.
  std::vector<std::string> AliveMembers() const;
  // Names of the members that are declared dead.
  std::vector<std::string> DeadMembers() const;
  // Names of those of them that were declared dead within `time` before `now`.
  std::vector<std::string> MembersDeadWithin(duration time,
                                             time_point now) const;

  // Checksum over all members that are not dead; equal on entries that know the
  // same members and processes.
  std::uint64_t checksum() const;
  // Checksums of the single members that are not dead, in the order of name
  // hashes.
  std::vector<member_checksum> MemberChecksums() const;
  // Returns the checksum of one member, by its name, process and whether it is
  // leaving.
  static member_checksum ChecksumOf(const member& known);
  // Time that a suspected member has for a refutation, at the present number of
  // members.
  duration SuspicionTime() const;

 private:
  template <typename T>
  merge_result MergeSelf(const T& seen);
  merge_result ApplyIfNewer(member& known,
                            const member_update& seen,
                            time_point now);
  void UpdateTimer(const member& known, time_point now);

  member self_;
  const membership_options options_;
  std::map<std::string, member, std::less<>> other_members_;
  // Time at which a suspected member, or a leaving one that does not answer, is
  // declared dead, or a dead one is removed.
  std::map<std::string, time_point, std::less<>> timer_due_;
  // Names by ProcessId(), to find the member that a digest describes.
  std::map<std::uint32_t, std::string> name_by_process_id_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_TABLE_H_
