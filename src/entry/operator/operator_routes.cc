#include "entry/operator/operator_routes.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

#include "config/declaration_reader.h"
#include "entry/operator/operator_json.h"

namespace samphire {

namespace {

using outcome_result = result<operator_outcome>;
// Runs one operation on the api and returns the fields of its response.
using operation = outcome_result (*)(operator_api&, const operator_call&);

// Bounds the segments of a route.
constexpr std::size_t kMaxSegments = 5;
// Matches any segment of a path.
constexpr std::string_view kWildcard = "*";
// Bounds on parameters. Names and ids are stored in the history and the logs; a
// reason is a sentence or two.
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxReasonBytes = 512;
constexpr std::size_t kMaxKeyBytes = 255;

// One row of the routing table; unused segments of `path` are empty.
struct route {
  std::string_view method;
  std::array<std::string_view, kMaxSegments> path;
  operation run;
};

error Malformed(const std::string& detail) {
  return MakeError(result_code::kMalformedRequest, detail);
}

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char letter) {
    return letter >= 0x20 && letter != 0x7f;
  });
}

// Returns a required parameter that must be printable and at most `max_bytes`
// long.
result<std::string> Parameter(const operator_call& call,
                              const std::string& name,
                              std::size_t max_bytes) {
  const auto found = call.parameters.find(name);
  if (found == call.parameters.end() || found->second.empty())
    return Malformed("parameter missing: " + name);
  if (found->second.size() > max_bytes || !IsPrintable(found->second))
    return Malformed("parameter too long or not printable: " + name);
  return found->second;
}

// Returns the optional version precondition of an apply.
result<std::optional<std::uint64_t>> ExpectedVersion(
    const operator_call& call) {
  const auto found = call.parameters.find("expect");
  if (found == call.parameters.end())
    return std::optional<std::uint64_t>();
  std::uint64_t version = 0;
  const auto& text = found->second;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), version);
  if (failure != std::errc() || end != text.data() + text.size())
    return Malformed("expect is not a version number");
  return std::optional(version);
}

template <typename T>
outcome_result ReadOutcome(const result<T>& response) {
  if (response.has_error())
    return response.error();
  return operator_outcome{result_code::kOk, JsonOf(response.value())};
}

// Converts the result of a change. A change that awaits a witness is no
// failure, but is not in force either: the code says so, and the fields
// contain the id of the proposal that a second operator must approve.
outcome_result ChangeOutcome(const result<apply_response>& response) {
  if (response.has_error())
    return response.error();
  const auto code = response.value().proposal.empty()
                        ? result_code::kOk
                        : result_code::kWitnessNeeded;
  return operator_outcome{code, JsonOf(response.value())};
}

outcome_result Check(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRYV(api.Check(call.body));
  return operator_outcome{result_code::kOk, Poco::JSON::Object()};
}

outcome_result Apply(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(apply_id, Parameter(call, "apply_id", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  BOOST_OUTCOME_TRY(expect, ExpectedVersion(call));
  return ChangeOutcome(api.Apply({apply_id, name, expect, call.body}));
}

outcome_result ShowConfig(operator_api& api, const operator_call&) {
  return ReadOutcome(api.Config());
}

outcome_result ShowHistory(operator_api& api, const operator_call&) {
  return ReadOutcome(api.History());
}

outcome_result Witness(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  return ChangeOutcome(api.Witness({call.segments[2], name}));
}

outcome_result ShowStatus(operator_api& api, const operator_call&) {
  return ReadOutcome(api.Status());
}

outcome_result ListDrains(operator_api& api, const operator_call&) {
  return ReadOutcome(api.Drains());
}

outcome_result AddDrain(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(apply_id, Parameter(call, "apply_id", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  BOOST_OUTCOME_TRY(added, ReadDrain(call.body));
  return ChangeOutcome(api.AddDrain({apply_id, name, added}));
}

outcome_result RemoveDrain(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(apply_id, Parameter(call, "apply_id", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  return ChangeOutcome(api.RemoveDrain({apply_id, name, call.segments[2]}));
}

outcome_result ListUnresolved(operator_api& api, const operator_call&) {
  return ReadOutcome(api.Unresolved());
}

result<ledger_query> QueryOf(const operator_call& call) {
  BOOST_OUTCOME_TRY(service, Parameter(call, "service", kMaxNameBytes));
  const auto& key = call.segments[2];
  if (key.empty() || key.size() > kMaxKeyBytes)
    return Malformed("ledger key is empty or longer than 255 bytes");
  return ledger_query{service, key};
}

outcome_result ShowLedger(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(query, QueryOf(call));
  return ReadOutcome(api.ShowLedger(query));
}

// Resolving a reservation by hand overrides the system's own record, so it
// always requires an operator name and a reason, which are stored with the
// record.
outcome_result ResolveLedger(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(query, QueryOf(call));
  BOOST_OUTCOME_TRY(as, Parameter(call, "as", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  BOOST_OUTCOME_TRY(reason, Parameter(call, "reason", kMaxReasonBytes));
  const auto resolution = ValueOf(kLedgerResolutionNames, as);
  if (!resolution)
    return Malformed("as must be done or released");
  return ReadOutcome(api.ResolveLedger({query, *resolution, name, reason}));
}

// The first match wins. "unresolved" precedes the wildcard, so a ledger key of
// that name cannot be shown.
constexpr std::array<route, 12> kRoutes{{
    {"POST", {"v1", "config", "check"}, Check},
    {"POST", {"v1", "config", "apply"}, Apply},
    {"GET", {"v1", "config"}, ShowConfig},
    {"GET", {"v1", "config", "history"}, ShowHistory},
    {"POST", {"v1", "witness", "*"}, Witness},
    {"GET", {"v1", "status"}, ShowStatus},
    {"GET", {"v1", "drains"}, ListDrains},
    {"POST", {"v1", "drains"}, AddDrain},
    {"DELETE", {"v1", "drains", "*"}, RemoveDrain},
    {"GET", {"v1", "ledger", "unresolved"}, ListUnresolved},
    {"GET", {"v1", "ledger", "*"}, ShowLedger},
    {"POST", {"v1", "ledger", "*", "resolve"}, ResolveLedger},
}};

// Returns whether the method and all segments of the path match.
bool Matches(const route& one, const operator_call& call) {
  const auto end = std::find(one.path.begin(), one.path.end(), "");
  return one.method == call.method &&
         std::equal(one.path.begin(), end, call.segments.begin(),
                    call.segments.end(),
                    [](std::string_view pattern, const std::string& segment) {
                      return pattern == kWildcard || pattern == segment;
                    });
}

}  // namespace

result<operator_outcome> DispatchOperatorCall(operator_api& api,
                                              const operator_call& call) {
  const auto* const found =
      std::find_if(kRoutes.begin(), kRoutes.end(),
                   [&call](const route& one) { return Matches(one, call); });
  if (found == kRoutes.end())
    return MakeError(result_code::kUnknownPath,
                     "no operator call has this method and path");
  return found->run(api, call);
}

}  // namespace samphire
