#include "gateway/request_router.h"

#include <utility>

#include "base/log.h"
#include "gateway/region_choice.h"

namespace samphire {

namespace {

// Retry time that is sent to the caller if no region can be tried.
constexpr milliseconds kRetryAfter{1000};

}  // namespace

request_router::request_router(std::string own_region,
                               region_server& local,
                               region_server& remote,
                               peer_directory& peers,
                               const clock_source& clock,
                               metrics& counters)
    : own_region_(std::move(own_region)),
      local_(local),
      remote_(remote),
      peers_(peers),
      clock_(clock),
      metrics_(counters) {}

void request_router::Route(const caller_request& request,
                           const caller_watch& caller,
                           response_sink& sink) {
  response_status failure{.code = result_code::kNoTargetAvailable,
                          .config_version = request.deployment->version(),
                          .retry_after = kRetryAfter};
  for (const auto& region : RegionsFor(request)) {
    const auto end = ServeIn(region, request, caller, sink);
    const auto* failed = std::get_if<serve_failure>(&end);
    if (failed == nullptr)
      return;
    failure = failed->status;
    if (!MayShift(failure) || clock_.now() >= request.deadline)
      break;
  }
  metrics_.CountRefusal(failure.code);
  Log(log_level::kInfo, "refused",
      {{"request", request.id},
       {"service", request.service->name},
       {"class", request.request_class->name},
       {"code", static_cast<int>(failure.code)},
       {"name", NameOf(failure.code)},
       {"run", NameOf(kRunStateNames, failure.run)}});
  sink.Refuse(failure);
}

// A forwarded request is served here or refused. Forwarding it once more could
// send it in a loop between two regions that each believe the other to have
// free slots.
std::vector<std::string> request_router::RegionsFor(
    const caller_request& request) {
  if (request.forwarded)
    return {own_region_};
  const auto& present = *request.deployment;
  const auto wall_now = clock_.wall_now();
  std::vector<region_candidate> candidates;
  for (const auto& region :
       present.RegionsOf(*request.service, request.home_region)) {
    if (!present.HasOpenTarget(*request.service, region, wall_now))
      continue;
    region_candidate candidate{.name = region, .own = region == own_region_};
    if (!candidate.own) {
      candidate.reachable = !peers_.EntriesIn(region).empty();
      candidate.has_free_slots =
          peers_.HasFreeSlots(region, request.service->name);
    }
    candidates.push_back(std::move(candidate));
  }
  return ChooseRegions(candidates);
}

serve_result request_router::ServeIn(const std::string& region,
                                     const caller_request& request,
                                     const caller_watch& caller,
                                     response_sink& sink) {
  auto& server = region == own_region_ ? local_ : remote_;
  return server.Serve(request, region, caller, sink);
}

}  // namespace samphire
