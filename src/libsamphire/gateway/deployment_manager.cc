#include "gateway/deployment_manager.h"

#include "base/log.h"

namespace samphire {

namespace {

// Role of targets in the platform's instance list.
const std::string kTargetRole = "target";

}  // namespace

deployment_manager::deployment_manager(node_state& state,
                                       gate_set& gates,
                                       const clock_source& clock,
                                       metrics& counters)
    : state_(state), gates_(gates), clock_(clock), metrics_(counters) {}

// The gates change before the deployment is published. A request that reads the
// new version thus finds its gate, and one that still reads the old version
// finds the gates of the services declared before, because gates are kept.
void deployment_manager::OnImage(const image_ptr& image) {
  deployment_ptr next(
      new deployment(image->frame(), image->version(), BlockTableFor(*image)));
  gates_.Follow(*next);
  {
    // A gate forgets which targets were closed when their declaration changes.
    std::lock_guard guard(lock_);
    for (const auto& whole : next->declared().services)
      stale_gates_.insert(whole.name);
  }
  CloseTargets(*next);
  state_.deployments.Replace(next);
  metrics_.Set("config_version", "", static_cast<double>(image->version()));
  Log(log_level::kInfo, "configuration-in-force",
      {{"version", image->version()}});
}

// Reuses the table where possible: with 1.9 million client blocks it takes
// about half a second of processor time to build, and a change arrives every
// four seconds; most changes touch no block.
home_region_table_ptr deployment_manager::BlockTableFor(
    const config_image& image) {
  if (!blocks_ || blocks_ref_ != image.blocks_ref()) {
    blocks_ = new home_region_table(
        image.frame().regions,
        [&image](const home_region_table::block_visitor& visit) {
          image.ForEachClientBlock(visit);
        });
    blocks_ref_ = image.blocks_ref();
    metrics_.Count("block_tables_built_total");
  }
  return blocks_;
}

// A target is closed only if the list says that it is leaving or gone. One that
// is merely missing from the list stays open, because the list lags behind; a
// target that has really gone is detected by refused connections.
void deployment_manager::OnInstances(
    const std::vector<instance_info>& instances) {
  {
    std::lock_guard guard(lock_);
    listed_unavailable_.clear();
    for (const auto& each : instances) {
      if (each.role == kTargetRole && each.state != instance_state::kLive)
        listed_unavailable_.insert(each.name);
    }
  }
  Tick();
}

void deployment_manager::Tick() {
  if (const auto present = state_.deployments.Get())
    CloseTargets(*present);
}

void deployment_manager::CloseTargets(const deployment& present) {
  const auto now = clock_.wall_now();
  std::lock_guard guard(lock_);
  for (const auto& whole : present.declared().services) {
    auto closed = present.DrainedTargets(whole, now);
    for (const auto& each : whole.targets) {
      if (listed_unavailable_.contains(whole.name + "." + each.name))
        closed.insert(each.name);
    }
    const auto gate = gates_.Find(whole.name);
    if (!gate)
      continue;
    auto& before = closed_[whole.name];
    if (stale_gates_.erase(whole.name) > 0 || before != closed) {
      Log(log_level::kInfo, "targets-closed",
          {{"service", whole.name}, {"count", closed.size()}});
      gate->SetClosedTargets(closed);
      for (const auto& each : closed) {
        if (!before.contains(each))
          draining_.try_emplace({whole.name, each}, clock_.now());
      }
      before = std::move(closed);
    }
    RecordFinishedDrains(whole.name, *gate);
  }
}

void deployment_manager::RecordFinishedDrains(const std::string& service,
                                              const service_gate& gate) {
  const auto running = gate.draining();
  std::erase_if(draining_, [&](const auto& item) {
    const auto& [place, since] = item;
    if (place.first != service || running.contains(place.second))
      return false;
    const auto lasted = clock_.now() - since;
    metrics_.Observe("drain_seconds", "service=\"" + service + "\"", lasted);
    Log(log_level::kInfo, "target-drained",
        {{"service", service},
         {"target", place.second},
         {"seconds", std::chrono::duration<double>(lasted).count()}});
    return true;
  });
}

}  // namespace samphire
