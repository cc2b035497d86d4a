#include "distribution/follower_state.h"

#include <algorithm>

namespace samphire {

namespace {

// Bounds the exponent of the backoff.
constexpr int kMaxDoublings = 10;
// Confirmation age of an entry that never had a confirmation.
constexpr std::chrono::hours kInitialConfirmationAge(24);

}  // namespace

follower_state::follower_state(const follower_limits& limits, time_point start)
    : limits_(limits),
      start_(start),
      confirmed_at_(start - kInitialConfirmationAge),
      platform_retry_at_(start),
      load_retry_at_(start) {}

// Versions only increase. A platform that returns an older root, or a different
// one under the same version, has lost writes that operators were told were
// accepted; following it would take an accepted change out of force. The
// verdict makes this visible: it is counted and logged.
root_verdict follower_state::Compare(std::uint64_t version,
                                     const std::string& digest) const {
  if (version != version_)
    return version > version_ ? root_verdict::kNewer : root_verdict::kOlder;
  return digest.empty() || digest == digest_ ? root_verdict::kCurrent
                                             : root_verdict::kDiffers;
}

root_verdict follower_state::OnRoot(std::uint64_t version,
                                    const std::string& digest,
                                    time_point now) {
  platform_failures_ = 0;
  root_changed_ = false;
  no_root_ = false;
  root_version_ = version;
  const auto verdict = Compare(version, digest);
  if (verdict == root_verdict::kCurrent)
    confirmed_at_ = std::max(confirmed_at_, now);
  else if (verdict != root_verdict::kNewer)
    platform_retry_at_ = now + limits_.max_retry_delay;
  return verdict;
}

void follower_state::OnNoRoot(time_point now) {
  platform_failures_ = 0;
  root_changed_ = false;
  no_root_ = true;
  no_root_at_ = now;
}

void follower_state::OnRootChanged() {
  platform_failures_ = 0;
  root_changed_ = true;
}

// A watch without events confirms the root that was read since the watch began,
// not the image in force: while the chunks of a newer root are still being
// loaded, the image is known to be out of date although the watch reports
// nothing.
void follower_state::OnWatchUnchanged(time_point now) {
  platform_failures_ = 0;
  if (root_version_ == version_ && !root_changed_ && has_image())
    confirmed_at_ = std::max(confirmed_at_, now);
}

void follower_state::OnPlatformError(time_point now) {
  ++platform_failures_;
  platform_retry_at_ = now + Backoff(platform_failures_);
}

root_verdict follower_state::OnPeerConfig(const std::string& peer,
                                          const peer_config& config,
                                          time_point now) {
  const auto verdict = Compare(config.version, config.digest);
  if (verdict == root_verdict::kCurrent)
    confirmed_at_ = std::max(confirmed_at_, now - config.confirmed_age);
  if (verdict == root_verdict::kNewer && config.version >= newer_version_) {
    newer_version_ = config.version;
    newer_peer_ = peer;
  }
  return verdict;
}

void follower_state::OnImage(std::uint64_t version,
                             const std::string& digest,
                             time_point confirmed_at) {
  if (version <= version_)
    return;
  version_ = version;
  digest_ = digest;
  confirmed_at_ = std::max(confirmed_at_, confirmed_at);
  load_failures_ = 0;
  if (newer_version_ <= version_)
    newer_version_ = 0;
}

// The peer may be gone or hold a damaged chunk. Its announcement is discarded
// until it announces the version again, and the platform is queried next.
void follower_state::OnLoadFailed(time_point now) {
  ++load_failures_;
  load_retry_at_ = now + Backoff(load_failures_);
  newer_version_ = 0;
  root_changed_ = true;
}

// At a start only the platform is authoritative, since peers may be behind: an
// entry that served an older version than before its restart would take back an
// accepted change. Only after the platform has failed for a while are the peers
// used instead: all that can be queried, and the highest version among them is
// loaded.
follower_action follower_state::Next(time_point now) const {
  if (now < load_retry_at_)
    return wait_until{load_retry_at_};
  if (!has_image()) {
    const bool outage =
        platform_failures_ > 0 && now >= start_ + limits_.peer_fallback_delay;
    if (now >= RootDueAt())
      return read_root{};
    return outage ? follower_action(query_peers{})
                  : follower_action(wait_until{RootDueAt()});
  }
  if (newer_version_ > version_)
    return pull_from_peer{newer_peer_, newer_version_};
  if (now >= RootDueAt())
    return read_root{};
  return wait_until{RootDueAt()};
}

// Returns when the root is to be read. In a healthy fleet only the watchers
// read it, once for each change; the other entries get changes from peers. An
// entry that no peer confirms for too long reads it by itself, at a rate that
// the platform sustains even if all 2,800 entries do so: one read per entry in
// max_confirmation_age.
time_point follower_state::RootDueAt() const {
  if (platform_failures_ > 0)
    return platform_retry_at_;
  if (no_root_)
    return root_changed_ ? no_root_at_ : no_root_at_ + Backoff(kMaxDoublings);
  if (!has_image() || root_changed_)
    return platform_retry_at_;
  const auto spread = limits_.max_confirmation_age * limits_.jitter / 2;
  return std::max(platform_retry_at_,
                  confirmed_at_ + limits_.max_confirmation_age +
                      std::chrono::duration_cast<duration>(spread));
}

// Doubles up to max_retry_delay. The jitter of each entry prevents the whole
// fleet from querying a recovered platform at the same moment.
duration follower_state::Backoff(int failures) const {
  const auto doubled = limits_.initial_retry_delay *
                       (1 << std::min(failures - 1, kMaxDoublings));
  const auto bounded = std::min<milliseconds>(doubled, limits_.max_retry_delay);
  return std::chrono::duration_cast<duration>(bounded *
                                              (0.75 + limits_.jitter / 2));
}

}  // namespace samphire
