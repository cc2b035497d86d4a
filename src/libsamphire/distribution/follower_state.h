#ifndef DISTRIBUTION_FOLLOWER_STATE_H_
#define DISTRIBUTION_FOLLOWER_STATE_H_

#include <cstdint>
#include <string>

#include "distribution/follower_action.h"
#include "distribution/follower_limits.h"
#include "distribution/peer_config.h"
#include "distribution/root_verdict.h"

namespace samphire {

// Decides how one entry gets its configuration and keeps it current. Pure: it
// is told what happened and says what to do next.
class follower_state {
 public:
  follower_state(const follower_limits& limits, time_point start);

  void SetWatching(bool watching) { watching_ = watching; }
  bool watching() const { return watching_; }

  // The platform's root was read; the verdict tells whether to load it.
  root_verdict OnRoot(std::uint64_t version,
                      const std::string& digest,
                      time_point now);
  // The platform answered that nothing was ever applied.
  void OnNoRoot(time_point now);
  // The watch told of a change, or begins anew.
  void OnRootChanged();
  // The watch found that up to `now` nothing was written.
  void OnQuietWatch(time_point now);
  void OnPlatformError(time_point now);
  root_verdict OnPeer(const std::string& peer,
                      const peer_config& config,
                      time_point now);
  // An image is loaded and in force from now on.
  void OnImage(std::uint64_t version,
               const std::string& digest,
               time_point confirmed_at);
  void OnLoadFailed(time_point now);

  follower_action Next(time_point now) const;

  std::uint64_t version() const { return version_; }
  const std::string& digest() const { return digest_; }
  // When it was last known that nothing newer was in force.
  time_point confirmed_at() const { return confirmed_at_; }
  bool has_image() const { return version_ != 0; }
  // Whether the platform failed the last time it was asked.
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
  // The version of the root when it was last read.
  std::uint64_t root_version_ = 0;
  bool root_changed_ = false;
  int platform_failures_ = 0;
  time_point platform_retry_at_;
  // The last time the platform said that it has no configuration.
  time_point no_root_at_;
  bool no_root_ = false;
  // A peer with a newer version than ours.
  std::string newer_peer_;
  std::uint64_t newer_version_ = 0;
  int load_failures_ = 0;
  time_point load_retry_at_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_FOLLOWER_STATE_H_
