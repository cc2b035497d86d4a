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
#include "membership/member_rumour.h"
#include "membership/membership_message.h"
#include "membership/membership_options.h"

namespace samphire {

// What one entry knows of the members of its region, itself included. Pure:
// the time is a parameter.
class membership_table {
 public:
  enum class effect {
    kNone,
    // News that others should hear.
    kChanged,
    // Others hold this process for suspect or dead, which was contradicted.
    kRefuted,
    // A later process runs under this one's name.
    kReplaced,
    // A rumour of a member without a record.
    kUnknown,
  };

  membership_table(member self, const membership_options& options);

  effect MergeRecord(const member& seen, time_point now);
  effect MergeRumour(const member_rumour& seen, time_point now);
  void MergeDigest(const member_digest& seen);
  // Marks a member that did not answer.
  effect Suspect(const std::string& name, time_point now);

  // Declares suspects dead whose time is over and forgets the long dead.
  // Returns the names of those that died.
  std::vector<std::string> Expire(time_point now);
  // Gives all suspects `by` more time.
  void Postpone(duration by);

  // The own record; a change must be told to others by the caller.
  void SetState(member_state state);
  void SetDigest(member_digest digest);

  const member& self() const { return self_; }
  const member* Find(std::string_view name) const;
  // All but this one, in the order of names.
  const std::map<std::string, member, std::less<>>& others() const {
    return others_;
  }
  // Names of others that answer probes, or may.
  std::vector<std::string> Probed() const;
  // Names, this one's included, of those that take work.
  std::vector<std::string> Working() const;
  std::vector<std::string> Dead() const;

  std::uint64_t checksum() const;
  std::vector<member_stamp> Stamps() const;
  static member_stamp StampOf(const member& known);
  duration SuspicionTime() const;

 private:
  template <typename T>
  effect MergeSelf(const T& seen);
  effect Adopt(member& known, const member_rumour& seen, time_point now);
  void NoteTime(const member& known, time_point now);

  member self_;
  const membership_options options_;
  std::map<std::string, member, std::less<>> others_;
  // When a suspect is declared dead, or a dead one forgotten.
  std::map<std::string, time_point, std::less<>> due_;
  std::map<std::uint32_t, std::string> by_process_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_TABLE_H_
