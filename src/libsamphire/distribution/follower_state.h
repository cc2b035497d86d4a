#ifndef DISTRIBUTION_FOLLOWER_STATE_H_
#define DISTRIBUTION_FOLLOWER_STATE_H_

#include <cstdint>
#include <string>

#include "distribution/follower_action.h"
#include "distribution/follower_limits.h"
#include "distribution/peer_config.h"
#include "distribution/root_verdict.h"

namespace samphire {

// Decides how one entry loads its configuration and keeps it current. A pure
// state machine: callers report events and then request the next action. Not
// thread-safe.
class follower_state {
 public:
  follower_state(const follower_limits& limits, time_point start);

  // Whether this entry watches the root at the platform.
  void SetWatching(bool watching) { watching_ = watching; }
  bool watching() const { return watching_; }

  // The platform's root was read. The verdict tells whether to load it.
  root_verdict OnRoot(std::uint64_t version,
                      const std::string& digest,
                      time_point now);
  // The platform answered that no configuration was ever applied.
  void OnNoRoot(time_point now);
  // The watch reported a change, or a new watch begins.
  void OnRootChanged();
  // The watch ended without an event: up to `now` nothing was written.
  void OnWatchUnchanged(time_point now);
  // A read or a watch of the platform's root failed.
  void OnPlatformError(time_point now);
  // A peer announced the version that it has in force.
  root_verdict OnPeerConfig(const std::string& peer,
                            const peer_config& config,
                            time_point now);
  // An image was loaded and is in force from now on.
  void OnImage(std::uint64_t version,
               const std::string& digest,
               time_point confirmed_at);
  // An image couldn't be loaded, or wasn't newer than the one in force.
  void OnLoadFailed(time_point now);

  // Returns what to do at `now`.
  follower_action Next(time_point now) const;

  std::uint64_t version() const { return version_; }
  const std::string& digest() const { return digest_; }
  // When it was last confirmed that no newer version was in force.
  time_point confirmed_at() const { return confirmed_at_; }
  bool has_image() const { return version_ != 0; }
  // Whether the last read or watch of the platform's root failed.
  bool platform_failing() const { return platform_failures_ > 0; }

 private:
  root_verdict Compare(std::uint64_t version, const std::string& digest) const;
  duration Backoff(int failures) const;
  time_point RootDueAt() const;

  const follower_limits limits_;
  const time_point start_;
  bool watching_ = false;
  std::uint64_t version_ = 0;
  std::string digest_;
  time_point confirmed_at_;
  // Version of the root when it was last read.
  std::uint64_t root_version_ = 0;
  // Whether the root must be read again.
  bool root_changed_ = false;
  int platform_failures_ = 0;
  time_point platform_retry_at_;
  // When the platform last answered that it has no configuration.
  time_point no_root_at_;
  bool no_root_ = false;
  // A peer that announced a newer version than the one in force, and this
  // version; 0 if there is none.
  std::string newer_peer_;
  std::uint64_t newer_version_ = 0;
  int load_failures_ = 0;
  time_point load_retry_at_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_FOLLOWER_STATE_H_
