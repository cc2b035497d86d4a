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

// Runs membership over a transport, with a thread of its own. Safe to use
// from several threads. The slots run on the thread that received the news,
// without any lock of this class, and must not block.
class membership_service {
 public:
  membership_service(member self,
                     const membership_options& options,
                     peer_transport& transport,
                     const clock_source& clock,
                     metrics& registry,
                     std::uint64_t seed);
  ~membership_service();

  membership_service(const membership_service&) = delete;
  membership_service& operator=(const membership_service&) = delete;

  // Set before Start. A digest of 0 is not known.
  std::function<void(const member&)> on_member_changed;
  std::function<void(std::uint64_t version,
                     std::uint64_t digest,
                     const std::string& peer_address)>
      on_config_version;
  // A later process runs on this instance: this one has to stop.
  std::function<void()> on_replaced;

  void Start();
  // Afterwards no slot runs any more.
  void Stop();

  void AddSeeds(const std::vector<std::string>& addresses);
  // What others shall know of this entry; called about once a second and on a
  // change of configuration.
  void SetSelf(member_digest digest, std::uint64_t config_digest);
  void AnnounceLeaving();

  // All of the own region, this entry first.
  std::vector<member> members() const;
  // Entries of a region that take work, in an order of this entry's own, so
  // that entries spread over them. The own region lists its members.
  std::vector<region_contact> EntriesOf(std::string_view region) const;
  // Every other region that has been heard of.
  std::vector<region_view> regions() const;

  // Whether this entry is one of the `count` of its region that have a role.
  bool HasRole(std::string_view role, std::size_t count) const;
  bool IsWatcher(std::size_t count) const { return HasRole("watcher", count); }
  bool IsDelegate() const;

  // One step of the thread, for tests.
  void Tick();

 private:
  void Run(const std::stop_token& stop);
  // Runs `change` on the core under the lock, then sends and tells.
  template <typename F>
  void With(F&& change);
  void Tell(const membership_event& event) const;

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
