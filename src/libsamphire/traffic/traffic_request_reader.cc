#include "traffic/traffic_request_reader.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>
#include <array>

#include "routing/target_rank.h"

namespace samphire {

namespace {

// An answer that leaves at the caller's very last millisecond comes too late;
// this is the way back and the time to write it.
constexpr milliseconds kWayBack{10};
constexpr std::size_t kHeldBytes = std::size_t{128} << 10U;
constexpr std::size_t kPieceBytes = std::size_t{16} << 10U;

// A nonsense deadline is passed over: the route's own timeout bounds the wait.
milliseconds CallerWaits(const front_request& request,
                         const traffic_context& context) {
  Poco::UInt64 told = 0;
  const auto text = request.get(context.headers.deadline, "");
  constexpr Poco::UInt64 kLongest = 3'600'000;
  if (!Poco::NumberParser::tryParseUnsigned64(text, told))
    return milliseconds(kLongest);
  return milliseconds(std::min(told, kLongest));
}

// Returns the value of a header, or an empty string if the header is missing or
// repeated.
std::string SingleHeaderValue(const front_request& request,
                              const std::string& name) {
  const auto count = std::ranges::count_if(request, [&](const auto& header) {
    return Poco::icompare(header.first, name) == 0;
  });
  return count == 1 ? request.get(name) : std::string();
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

// Claims and readings are a few KB; held whole, they can be sent again, and a
// caller on a slow link holds no target's slot while it sends. What is longer
// is passed on as it comes: the limit on bodies is tens of MB, and a few such
// uploads at once would be more than the memory of an instance.
result<void> ReadBodyStart(front_request& request, traffic_request& read) {
  const auto& limits = read.manifest->limits();
  BOOST_OUTCOME_TRY(body,
                    request.OpenBody(limits.max_body_bytes,
                                     read.arrived + limits.header_timeout));
  read.body_length = body->length();
  std::array<char, kPieceBytes> piece;
  while (!body->ended() && read.body.size() < kHeldBytes) {
    BOOST_OUTCOME_TRY(got, body->Read(piece));
    read.body.append(piece.data(), got);
  }
  if (!body->ended()) {
    body->set_deadline(read.deadline);
    read.body_rest = body;
  }
  return Success();
}

}  // namespace

result<traffic_request> ReadTrafficRequest(front_request& request,
                                           const traffic_context& context) {
  traffic_request read;
  read.arrived = context.clock.now();
  read.manifest = context.state.manifest();
  if (!read.manifest || !context.state.targets())
    return MakeError(result_code::kNoConfiguration);
  read.path = request.getURI();
  read.route = read.manifest->FindRoute(request.getHost(), read.path);
  if (read.route == nullptr)
    return MakeError(result_code::kUnknownPath, request.getHost() + read.path);
  BOOST_OUTCOME_TRYV(AuthenticateTeam(request, context, read));
  BOOST_OUTCOME_TRYV(SetHomeRegions(read));
  read.id = request.get(context.headers.request_id, "");
  read.method = request.getMethod();
  read.headers = request;
  const auto waits = CallerWaits(request, context);
  read.deadline =
      read.arrived + std::min(std::max(milliseconds{1}, waits - kWayBack),
                              read.route->timeout);
  BOOST_OUTCOME_TRYV(ReadBodyStart(request, read));
  // Requests without a key are spread by their own ids.
  read.key_hash = KeyHash(read.route->name,
                          request.get(context.headers.affinity_key, read.id));
  return read;
}

}  // namespace samphire
