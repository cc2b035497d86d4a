#include "traffic/traffic_request_reader.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/decimal_text.h"
#include "front/request_check.h"
#include "proxy/message_head.h"
#include "routing/target_rank.h"

namespace samphire {

namespace {

// Subtracted from the caller's timeout: the time to write the response and for
// it to reach the caller. A response sent in the last millisecond would be
// late.
constexpr milliseconds kResponseMargin{10};
// Bodies up to this size are buffered whole; longer ones are streamed.
constexpr std::size_t kMaxBufferedBytes = std::size_t{128} << 10U;
// Upper bound on one read of a body.
constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;

// Returns the timeout that the caller declares, at most one hour. A missing or
// malformed value counts as one hour, as the route's own timeout applies
// anyway.
milliseconds CallerTimeout(const front_request& request,
                           const traffic_context& context) {
  constexpr std::uint64_t kMaxTimeoutMs = 3'600'000;
  const auto declared = ParseDecimal(request.get(context.headers.deadline, ""));
  return milliseconds(
      std::min(declared.value_or(kMaxTimeoutMs), kMaxTimeoutMs));
}

// Returns the value of a header, or an empty string if the header is missing or
// repeated.
std::string SingleHeaderValue(const front_request& request,
                              const std::string& name) {
  const auto values = ValuesOf(request, name);
  return values.size() == 1 ? values.front() : std::string();
}

result<void> AuthenticateTeam(const front_request& request,
                              const traffic_context& context,
                              traffic_request& read) {
  if (!read.manifest->has_teams() || read.route->allows_anonymous)
    return Success();
  read.api_key = SingleHeaderValue(request, context.headers.api_key);
  read.team = read.manifest->FindTeamByApiKey(read.api_key);
  if (read.team == nullptr)
    return MakeError(result_code::kUnknownApiKey, read.route->name);
  return Success();
}

// Restricts the request to the home regions that its route and its team have in
// common.
result<void> SetHomeRegions(traffic_request& read) {
  read.home_regions = read.route->home_regions;
  if (read.team == nullptr || read.team->home_regions.empty())
    return Success();
  const auto& team_regions = read.team->home_regions;
  if (read.home_regions.empty()) {
    read.home_regions = team_regions;
    return Success();
  }
  std::erase_if(read.home_regions, [&](const auto& region) {
    return std::ranges::find(team_regions, region) == team_regions.end();
  });
  if (read.home_regions.empty())
    return MakeError(result_code::kNoCommonRegion, read.team->name);
  return Success();
}

// Most bodies, such as claims and sensor readings, are a few KB. Buffered
// whole, they can be sent again, and a caller on a slow link occupies no slot
// of a target while it sends. Longer bodies are streamed: the limit on bodies
// is tens of MB, and a few such uploads at once would exceed the memory of an
// instance.
result<void> ReadBodyStart(front_request& request, traffic_request& read) {
  const auto& limits = read.manifest->limits();
  auto& body = request.OpenBody(limits.max_body_bytes,
                                read.arrived + limits.header_timeout);
  std::string start;
  std::array<char, kChunkBytes> chunk;
  while (!body.ended() && start.size() < kMaxBufferedBytes) {
    BOOST_OUTCOME_TRY(got, body.Read(chunk));
    start.append(chunk.data(), got);
  }
  if (body.ended()) {
    read.body = outgoing_body(std::move(start));
    return Success();
  }
  body.set_deadline(read.deadline);
  read.body = outgoing_body(std::move(start), body, body.length());
  return Success();
}

// Names of hosts are the same in capitals and small letters; the target gets
// the header as it came. HTTP/1.0 may lack it.
std::string HostOf(const front_request& request) {
  return Poco::toLower(request.get(Poco::Net::HTTPRequest::HOST, ""));
}

}  // namespace

result<traffic_request> ReadTrafficRequest(front_request& request,
                                           const traffic_context& context) {
  traffic_request read;
  read.arrived = context.clock.now();
  read.manifest = context.state.manifest();
  if (!read.manifest || !context.state.targets())
    return MakeError(result_code::kNoConfiguration);
  // The caller's API key and team reach no target.
  const auto& names = context.headers;
  BOOST_OUTCOME_TRYV(
      CheckReadByBoth(request, {&names.request_id, &names.deadline,
                                &names.affinity_key, &names.expected_target}));
  read.path = request.getURI();
  const auto host = HostOf(request);
  read.route = read.manifest->FindRoute(host, read.path);
  if (read.route == nullptr)
    return MakeError(result_code::kUnknownPath, host + read.path);
  BOOST_OUTCOME_TRYV(AuthenticateTeam(request, context, read));
  BOOST_OUTCOME_TRYV(SetHomeRegions(read));
  read.id = request.get(context.headers.request_id, "");
  read.method = request.getMethod();
  read.headers = request;
  const auto caller_timeout = CallerTimeout(request, context);
  read.deadline =
      read.arrived +
      std::min(std::max(milliseconds{1}, caller_timeout - kResponseMargin),
               read.route->timeout);
  if (!context.state.stop.CanKeep(read.deadline))
    return MakeError(result_code::kEntryLeaving, read.route->name);
  BOOST_OUTCOME_TRYV(ReadBodyStart(request, read));
  read.fingerprint =
      FingerprintOf(host, read.team == nullptr ? "" : read.team->name,
                    read.method, read.path, DigestOfBody(read.body.start()));
  // Requests without an affinity key are distributed by their own ids.
  read.key_hash = KeyHash(read.route->name,
                          request.get(context.headers.affinity_key, read.id));
  return read;
}

}  // namespace samphire
