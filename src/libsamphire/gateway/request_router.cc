#include "gateway/request_router.h"

#include <utility>

#include "base/log.h"
#include "gateway/region_choice.h"

namespace samphire {

namespace {

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
                           answer_sink& sink) {
  response_status told{.code = result_code::kNoTargetAvailable,
                       .config_version = request.deployment->version(),
                       .retry_after = kRetryAfter};
  for (const auto& region : RegionsFor(request)) {
    const auto end = ServeIn(region, request, caller, sink);
    const auto* failed = std::get_if<unanswered>(&end);
    if (failed == nullptr)
      return;
    told = failed->note;
    if (!MayShift(told) || clock_.now() >= request.deadline)
      break;
  }
  metrics_.CountRefusal(told.code);
  Log(log_level::kInfo, "refused",
      {{"request", request.id},
       {"service", request.service->name},
       {"class", request.request_class->name},
       {"code", static_cast<int>(told.code)},
       {"name", NameOf(told.code)},
       {"run", NameOf(kRunStateNames, told.run)}});
  sink.Refuse(told);
}

// A passed request is served here or not at all: passing it on once more could
// send it in a circle between two regions that each believe the other free.
std::vector<std::string> request_router::RegionsFor(
    const caller_request& request) {
  if (request.passed)
    return {own_region_};
  const auto& present = *request.deployment;
  const auto wall_now = clock_.wall_now();
  std::vector<region_option> views;
  for (const auto& region :
       present.RegionsOf(*request.service, request.home_region)) {
    if (!present.HasOpenTarget(*request.service, region, wall_now))
      continue;
    region_option view{.name = region, .own = region == own_region_};
    if (!view.own) {
      view.reachable = !peers_.EntriesIn(region).empty();
      view.has_room = peers_.HasRoom(region, request.service->name);
    }
    views.push_back(std::move(view));
  }
  return ChooseRegions(views);
}

serve_end request_router::ServeIn(const std::string& region,
                                  const caller_request& request,
                                  const caller_watch& caller,
                                  answer_sink& sink) {
  auto& server = region == own_region_ ? local_ : remote_;
  return server.Serve(request, region, caller, sink);
}

}  // namespace samphire
