#include "gateway/deployment_keeper.h"

#include "base/log.h"

namespace samphire {

namespace {

const std::string kTargetRole = "target";

}  // namespace

deployment_keeper::deployment_keeper(node_state& state,
                                     gate_set& gates,
                                     const clock_source& clock,
                                     metrics& counters)
    : state_(state), gates_(gates), clock_(clock), metrics_(counters) {}

// The gates change before the deployment is shown: a request that reads the
// new version must find its gate, while one that still reads the old version
// finds the gates of what was declared before kept.
void deployment_keeper::OnImage(const image_ptr& image) {
  deployment_ptr next(
      new deployment(image->frame(), image->version(), BlocksOf(*image)));
  gates_.Follow(*next);
  {
    // A gate forgets what was closed of targets that changed.
    std::lock_guard guard(lock_);
    for (const auto& whole : next->declared().services)
      forgotten_.insert(whole.name);
  }
  CloseTargets(*next);
  state_.deployments.Replace(next);
  metrics_.Set("config_version", "", static_cast<double>(image->version()));
  Log(log_level::kInfo, "configuration-in-force",
      {{"version", image->version()}});
}

// With 1.9 million blocks a table takes about half a second of processor time
// to build, and a change comes every four seconds; most changes touch no block.
home_region_table_ptr deployment_keeper::BlocksOf(const config_image& image) {
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

// Only what the list says is leaving or gone closes a target. One that the
// list merely lacks stays open: the list lags, and a target that really has
// gone is found out by its refused connections.
void deployment_keeper::OnInstances(
    const std::vector<instance_info>& instances) {
  {
    std::lock_guard guard(lock_);
    listed_closed_.clear();
    for (const auto& each : instances) {
      if (each.role == kTargetRole && each.state != instance_state::kLive)
        listed_closed_.insert(each.name);
    }
  }
  Tick();
}

void deployment_keeper::Tick() {
  if (const auto present = state_.deployments.Get())
    CloseTargets(*present);
}

void deployment_keeper::CloseTargets(const deployment& present) {
  const auto now = clock_.wall_now();
  std::lock_guard guard(lock_);
  for (const auto& whole : present.declared().services) {
    auto closed = present.DrainedTargets(whole, now);
    for (const auto& each : whole.targets) {
      if (listed_closed_.contains(whole.name + "." + each.name))
        closed.insert(each.name);
    }
    const auto gate = gates_.Find(whole.name);
    if (!gate)
      continue;
    auto& before = closed_[whole.name];
    if (forgotten_.erase(whole.name) > 0 || before != closed) {
      Log(log_level::kInfo, "targets-closed",
          {{"service", whole.name}, {"count", closed.size()}});
      gate->SetClosedTargets(closed);
      for (const auto& each : closed) {
        if (!before.contains(each))
          draining_.try_emplace({whole.name, each}, clock_.now());
      }
      before = std::move(closed);
    }
    TimeDrains(whole.name, *gate);
  }
}

void deployment_keeper::TimeDrains(const std::string& service,
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
