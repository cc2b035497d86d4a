#include "distribution/follower_state.h"

#include <algorithm>

namespace samphire {

namespace {

constexpr int kMaxDoublings = 10;
// How old the confirmation of an entry counts that never had one.
constexpr std::chrono::hours kNeverConfirmed(24);

}  // namespace

follower_state::follower_state(const follower_limits& limits, time_point start)
    : limits_(limits),
      start_(start),
      confirmed_at_(start - kNeverConfirmed),
      platform_retry_at_(start),
      load_retry_at_(start) {}

// Versions only rise. A platform that shows an older root, or another one under
// the same version, has lost writes that operators were told were accepted;
// going along would take an accepted change out of force. Noticed by the
// verdict, which is counted and logged.
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
    platform_retry_at_ = now + limits_.longest_retry;
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

// Silence confirms the root that was read since the watch began, not what is
// in force here: while a newer root's chunks are still being loaded, the image
// in force is known to be out of date, however quiet the watch is.
void follower_state::OnQuietWatch(time_point now) {
  platform_failures_ = 0;
  if (root_version_ == version_ && !root_changed_ && has_image())
    confirmed_at_ = std::max(confirmed_at_, now);
}

void follower_state::OnPlatformError(time_point now) {
  ++platform_failures_;
  platform_retry_at_ = now + Backoff(platform_failures_);
}

root_verdict follower_state::OnPeer(const std::string& peer,
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

// The peer may have gone, or hold a damaged chunk: it is forgotten until it
// speaks again, and the platform is asked next.
void follower_state::OnLoadFailed(time_point now) {
  ++load_failures_;
  load_retry_at_ = now + Backoff(load_failures_);
  newer_version_ = 0;
  root_changed_ = true;
}

// At a start only the platform's word counts, since peers may be behind: an
// entry that served an older version than it served before its restart would
// take an accepted change back. Only once the platform has failed for a while
// do the peers stand in, all that can be asked, and the highest of them wins.
follower_action follower_state::Next(time_point now) const {
  if (now < load_retry_at_)
    return wait_until{load_retry_at_};
  if (!has_image()) {
    const bool outage =
        platform_failures_ > 0 && now >= start_ + limits_.boot_wait;
    if (now >= RootDueAt())
      return read_root{};
    return outage ? follower_action(ask_peers{})
                  : follower_action(wait_until{RootDueAt()});
  }
  if (newer_version_ > version_)
    return pull_from_peer{newer_peer_, newer_version_};
  if (now >= RootDueAt())
    return read_root{};
  return wait_until{RootDueAt()};
}

// When the root is to be read. In a healthy fleet only watchers read it, once
// a change; everyone else hears from peers. An entry that no peer confirms for
// too long asks by itself, at a rate that the platform bears even if all
// 2,800 do: one read per entry in confirm_within.
time_point follower_state::RootDueAt() const {
  if (platform_failures_ > 0)
    return platform_retry_at_;
  if (no_root_)
    return root_changed_ ? no_root_at_ : no_root_at_ + Backoff(kMaxDoublings);
  if (!has_image() || root_changed_)
    return platform_retry_at_;
  const auto spread = limits_.confirm_within * limits_.jitter / 2;
  return std::max(platform_retry_at_,
                  confirmed_at_ + limits_.confirm_within +
                      std::chrono::duration_cast<duration>(spread));
}

// Doubles up to the longest; an entry's own jitter keeps a fleet from asking a
// platform that comes back all in one moment.
duration follower_state::Backoff(int failures) const {
  const auto doubled =
      limits_.first_retry * (1 << std::min(failures - 1, kMaxDoublings));
  const auto bounded = std::min<milliseconds>(doubled, limits_.longest_retry);
  return std::chrono::duration_cast<duration>(bounded *
                                              (0.75 + limits_.jitter / 2));
}

}  // namespace samphire
