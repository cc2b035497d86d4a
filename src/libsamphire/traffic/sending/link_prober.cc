#include "traffic/sending/link_prober.h"

namespace samphire {

namespace {

// Pause after a probe that failed.
constexpr milliseconds kProbeInterval{250};
constexpr milliseconds kProbeTimeout{250};
// The thread is woken when a target can't be reached.
constexpr milliseconds kIdleWait{60'000};

}  // namespace

link_prober::link_prober(target_links& links, connection_pool& pool)
    : links_(links), pool_(pool) {
  links_.on_unreachable = [this] { thread_.Wake(); };
}

link_prober::~link_prober() {
  thread_.Stop();
}

void link_prober::Start() {
  thread_.Start([this] { return ProbeAll(); });
}

// Goes on without a pause while probes succeed: once a link is back, all
// targets behind it are.
duration link_prober::ProbeAll() {
  while (const auto target = links_.NextProbe()) {
    if (!Probe(*target))
      return kProbeInterval;
  }
  return links_.unreachable() > 0 ? kProbeInterval : kIdleWait;
}

bool link_prober::Probe(const live_target& target) {
  auto opened = pool_.Open(target.address, kProbeTimeout);
  if (!opened)
    return false;
  links_.OnConnected(target);
  pool_.Release(target.address, opened.value());
  return true;
}

}  // namespace samphire
