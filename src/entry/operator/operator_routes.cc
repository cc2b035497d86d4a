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
using operation = outcome_result (*)(operator_api&, const operator_call&);

constexpr std::size_t kMaxSegments = 5;
constexpr std::string_view kAny = "*";
// Names and ids end up in history and logs; a reason is a sentence or two.
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxReasonBytes = 512;
constexpr std::size_t kMaxKeyBytes = 255;

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

// A text that must be there, printable and not over `max_bytes`.
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
    return Malformed("expect is not a version");
  return std::optional(version);
}

template <typename T>
outcome_result Shown(const result<T>& answer) {
  if (answer.has_error())
    return answer.error();
  return operator_outcome{result_code::kOk, JsonOf(answer.value())};
}

// A change that waits for its witness is no failure, yet it is not in force:
// its code says so, and its id says how to go on.
outcome_result Changed(const result<apply_answer>& answer) {
  if (answer.has_error())
    return answer.error();
  const auto code = answer.value().proposal.empty()
                        ? result_code::kOk
                        : result_code::kWitnessNeeded;
  return operator_outcome{code, JsonOf(answer.value())};
}

outcome_result Check(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRYV(api.Check(call.body));
  return operator_outcome{result_code::kOk, Poco::JSON::Object()};
}

outcome_result Apply(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(apply_id, Parameter(call, "apply_id", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  BOOST_OUTCOME_TRY(expect, ExpectedVersion(call));
  return Changed(api.Apply({apply_id, name, expect, call.body}));
}

outcome_result ShowConfig(operator_api& api, const operator_call&) {
  return Shown(api.Config());
}

outcome_result ShowHistory(operator_api& api, const operator_call&) {
  return Shown(api.History());
}

outcome_result Witness(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  return Changed(api.Witness({call.segments[2], name}));
}

outcome_result ShowStatus(operator_api& api, const operator_call&) {
  return Shown(api.Status());
}

outcome_result ListDrains(operator_api& api, const operator_call&) {
  return Shown(api.Drains());
}

outcome_result AddDrain(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(apply_id, Parameter(call, "apply_id", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  BOOST_OUTCOME_TRY(added, ReadDrain(call.body));
  return Changed(api.AddDrain({apply_id, name, added}));
}

outcome_result RemoveDrain(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(apply_id, Parameter(call, "apply_id", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  return Changed(api.RemoveDrain({apply_id, name, call.segments[2]}));
}

outcome_result ListUnresolved(operator_api& api, const operator_call&) {
  return Shown(api.Unresolved());
}

result<ledger_query> QueryOf(const operator_call& call) {
  BOOST_OUTCOME_TRY(service, Parameter(call, "service", kMaxNameBytes));
  const auto& key = call.segments[2];
  if (key.empty() || key.size() > kMaxKeyBytes)
    return Malformed("the key is empty or too long");
  return ledger_query{service, key};
}

outcome_result ShowLedger(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(query, QueryOf(call));
  return Shown(api.ShowLedger(query));
}

// Settling by hand overrides what the system knows, so it is never done
// without a name and a reason that stay with the record.
outcome_result ResolveLedger(operator_api& api, const operator_call& call) {
  BOOST_OUTCOME_TRY(query, QueryOf(call));
  BOOST_OUTCOME_TRY(as, Parameter(call, "as", kMaxNameBytes));
  BOOST_OUTCOME_TRY(name, Parameter(call, "operator", kMaxNameBytes));
  BOOST_OUTCOME_TRY(reason, Parameter(call, "reason", kMaxReasonBytes));
  const auto resolution = ValueOf(kLedgerResolutionNames, as);
  if (!resolution)
    return Malformed("as is neither done nor released");
  return Shown(api.ResolveLedger({query, *resolution, name, reason}));
}

// "unresolved" stands before "*": a key of that name can't be shown.
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

bool Matches(const route& one, const operator_call& call) {
  const auto end = std::find(one.path.begin(), one.path.end(), "");
  return one.method == call.method &&
         std::equal(one.path.begin(), end, call.segments.begin(),
                    call.segments.end(),
                    [](std::string_view pattern, const std::string& segment) {
                      return pattern == kAny || pattern == segment;
                    });
}

}  // namespace

result<operator_outcome> DispatchOperatorCall(operator_api& api,
                                              const operator_call& call) {
  const auto* const found =
      std::find_if(kRoutes.begin(), kRoutes.end(),
                   [&call](const route& one) { return Matches(one, call); });
  if (found == kRoutes.end())
    return MakeError(result_code::kUnknownPath, "no such operator call");
  return found->run(api, call);
}

}  // namespace samphire
