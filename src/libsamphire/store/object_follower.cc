#include "store/object_follower.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// How long one watch waits. A store that swallows calls is noticed only when
// one runs out, and a change made meanwhile is seen so much later; shorter
// waits cost more calls, each of which is priced.
constexpr milliseconds kWatchTime{3000};
// While the platform doesn't answer: each call asks for an answer at once, so
// that one which is swallowed is given up soon and the return is not missed by
// a watch that was sent a moment before it.
constexpr milliseconds kProbeTime{50};
// Changes that come together are taken in together: each watch that returns is
// a call, and what must be known soon must be known within two seconds.
constexpr milliseconds kGather{200};
constexpr milliseconds kFirstPause{150};
constexpr milliseconds kLongestPause{500};

}  // namespace

object_follower::object_follower(object_watcher& store,
                                 const clock_source& clock,
                                 std::string prefix,
                                 change_sink on_change)
    : store_(store),
      clock_(clock),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)) {}

void object_follower::Start() {
  last_contact_ = clock_.now();
  thread_.Start([this] { return Step(); });
}

milliseconds object_follower::Step() {
  const auto now = clock_.now();
  auto wait = lost_ ? kProbeTime : kWatchTime;
  if (const auto due = mirror_.expiry()) {
    const auto left = std::chrono::ceil<milliseconds>(*due - now);
    wait = std::clamp(left, milliseconds{1}, wait);
  }
  const auto batch = store_.Watch(prefix_, mirror_.cursor(), wait);
  if (!batch)
    return OnFailure(batch.error());
  OnContact();
  bool changed = mirror_.Apply(batch.value(), clock_.now());
  changed |= mirror_.Expire(clock_.now());
  changed |= tell_again_.exchange(false);
  if ((changed || !told_once_) && mirror_.cursor() != 0) {
    told_once_ = true;
    on_change_(mirror_.objects());
  }
  const bool behind = mirror_.cursor() == 0;
  return behind || !batch.value().events.empty() ? kGather : milliseconds{0};
}

milliseconds object_follower::OnFailure(const error& why) {
  if (!std::exchange(lost_, true)) {
    Log(log_level::kWarning, "store-lost",
        {{"prefix", prefix_},
         {"code", static_cast<int>(why.code)},
         {"reason", NameOf(why.code)},
         {"detail", why.detail}});
  }
  if (mirror_.Expire(clock_.now()))
    on_change_(mirror_.objects());
  pause_ = std::clamp(pause_ * 2, kFirstPause, kLongestPause);
  return pause_;
}

void object_follower::OnContact() {
  const auto now = clock_.now();
  if (std::exchange(lost_, false)) {
    const auto outage = now - last_contact_;
    Log(log_level::kInfo, "store-regained",
        {{"prefix", prefix_},
         {"seconds", std::chrono::duration<double>(outage).count()}});
  }
  last_contact_ = now;
  pause_ = milliseconds{0};
}

}  // namespace samphire
