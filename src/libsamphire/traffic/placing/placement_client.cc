#include "traffic/placing/placement_client.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// At most this fraction (1/20) of a request's latency objective is spent on
// waiting for the owner, within the two bounds below.
constexpr std::uint32_t kObjectiveDivisor = 20;
constexpr milliseconds kMinResponseTimeout{10};
constexpr milliseconds kMaxResponseTimeout{50};

milliseconds ResponseTimeout(const remote_placement_request& request) {
  return std::clamp(milliseconds(request.objective_ms / kObjectiveDivisor),
                    kMinResponseTimeout, kMaxResponseTimeout);
}

}  // namespace

placement_client::placement_client(peer_transport& transport,
                                   const clock_source& clock,
                                   metrics& counters,
                                   std::uint64_t first_id)
    : transport_(transport),
      metrics_(counters),
      query_(transport,
             clock,
             counters,
             message_kind::kPlacementRequest,
             "placing_unanswered_total",
             first_id) {
  transport_.OnMessage(
      message_kind::kPlacementResponse,
      [this](const peer_message& message) { OnResponse(message); });
}

placement_client::~placement_client() {
  transport_.OnMessage(message_kind::kPlacementResponse, nullptr);
}

std::optional<remote_placement_response> placement_client::RequestPlacement(
    const std::string& owner_address,
    remote_placement_request request) {
  auto service = request.service;
  const auto timeout = ResponseTimeout(request);
  return query_.Send(owner_address, std::move(request), std::move(service),
                     timeout);
}

void placement_client::OnResponse(const peer_message& message) {
  const auto response =
      DecodeBinary<remote_placement_response>(message.payload);
  if (!response) {
    metrics_.Count("placing_malformed_total");
    return;
  }
  const auto timed_out_service = query_.Deliver(*response);
  if (timed_out_service &&
      response->verdict == remote_placement_verdict::kPlaced) {
    ReportEnd(message.from, *timed_out_service, response->id,
              {.result = attempt_result::kCallerGone});
  }
}

void placement_client::ReportEnd(const std::string& owner_address,
                                 const std::string& service,
                                 std::uint64_t lease_id,
                                 const attempt_end& end) {
  remote_placement_end end_report{
      .id = lease_id,
      .service = service,
      .result = end.result == attempt_result::kNotSent
                    ? attempt_result::kCallerGone
                    : end.result,
      .took_us = static_cast<std::uint64_t>(
          std::chrono::duration_cast<microseconds>(end.took).count()),
      .body_bytes = end.body_bytes};
  if (end.report) {
    end_report.reported = 1;
    end_report.running = end.report->running;
    end_report.waiting = end.report->waiting;
    end_report.slots = end.report->slots;
  }
  const auto sent = transport_.Send(owner_address, message_kind::kPlacementEnd,
                                    EncodeBinary(end_report));
  if (!sent)
    metrics_.CountRetry(sent.error().code);
}

}  // namespace samphire
