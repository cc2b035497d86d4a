#ifndef MEMBERSHIP_MEMBERSHIP_SERVICE_H_
#define MEMBERSHIP_MEMBERSHIP_SERVICE_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/clock_source.h"
#include "membership/member.h"
#include "membership/membership_core.h"
#include "membership/membership_options.h"
#include "membership/region_contact.h"
#include "membership/region_view.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"

namespace samphire {

// Runs membership over a transport, with a thread of its own. Start and Stop
// are called by the owner, and Stop not from a callback; all other functions
// may be called by any thread. The callbacks run on the thread that received
// the message, or on the own thread, without any lock of this class held. They
// must not block.
class membership_service {
 public:
  // The transport, the clock and the registry must outlive this object. `seed`
  // starts the random generator of the protocol.
  membership_service(member self,
                     const membership_options& options,
                     peer_transport& transport,
                     const clock_source& clock,
                     metrics& registry,
                     std::uint64_t seed);
  ~membership_service();

  membership_service(const membership_service&) = delete;
  membership_service& operator=(const membership_service&) = delete;

  // Called when a member of the own region joins, changes its state or process,
  // or is declared dead. All callbacks must be set before Start(), and before
  // the transport receives, since this object handles messages once
  // constructed.
  std::function<void(const member&)> on_member_changed;
  // Called when a peer reports a newer configuration. A digest of 0 means
  // unknown.
  std::function<void(std::uint64_t version,
                     std::uint64_t digest,
                     const std::string& peer_address)>
      on_config_version;
  // Called when a process that started later runs on this instance. This
  // process then has to stop.
  std::function<void()> on_replaced;

  // Starts the thread.
  void Start();
  // Stops the thread. Afterwards no callback runs any more.
  void Stop();

  // Adds peer addresses by which the fleet can be joined.
  void AddSeeds(const std::vector<std::string>& addresses);
  // Sets what other members learn of this entry; called about once a second and
  // on every change of configuration.
  void SetSelf(member_digest digest, std::uint64_t config_digest);
  // Tells all members that this entry accepts no new work.
  void AnnounceLeaving();

  // Returns all known members of the own region, dead ones included, this entry
  // first.
  std::vector<member> members() const;
  // Returns the entries of a region that accept work, in an order specific to
  // this entry, so that the choices of different entries spread over them. For
  // the own region these are its alive members, for any other its contacts.
  std::vector<region_contact> EntriesOf(std::string_view region) const;
  // Returns every other known region.
  std::vector<region_view> regions() const;

  // Whether this entry is one of the `count` entries of its region that have a
  // role, by rendezvous hashing over the alive members.
  bool HasRole(std::string_view role, std::size_t count) const;
  // Returns the peer address of the one entry of the region that has a role;
  // empty if it is this entry, or if no member is alive.
  std::string RoleOwnerAddress(std::string_view role) const;
  // Whether this entry is one of the `count` of its region that watch the
  // object store themselves.
  bool IsWatcher(std::size_t count) const { return HasRole("watcher", count); }
  // Whether this entry exchanges digests with other regions for its region.
  bool IsDelegate() const;

  // Runs one iteration of the thread, for tests.
  void Tick();

 private:
  void Run(const std::stop_token& stop);
  // Runs `change` on the core under the lock, then sends the collected messages
  // and reports the events.
  template <typename F>
  void WithCore(F&& change);
  void DispatchEvent(const membership_event& event) const;

  peer_transport& transport_;
  const clock_source& clock_;
  metrics& metrics_;
  mutable std::mutex lock_;
  membership_core core_;
  std::condition_variable_any wake_;
  std::jthread thread_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_SERVICE_H_
