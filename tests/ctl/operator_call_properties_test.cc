#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "ctl/fake_operator_api.h"
#include "entry/operator/operator_routes.h"

using namespace samphire;

// A client with a valid token may send anything, for example from a faulty
// script or to the wrong port. Each call must end in a response with a numbered
// result code.
TEST_CASE("any target and body give an outcome or a numbered refusal") {
  CHECK(rc::check([] {
    static const std::string kPieces[] = {
        "/",          "v1",        "config",  "apply",    "ledger",
        "resolve",    "witness",   "drains",  "?",        "&",
        "=",          "%",         "%2F",     "%zz",      "operator=o",
        "apply_id=i", "service=s", "as=done", "reason=r", "\xff",
        "#",          ":"};
    std::string target = "/v1/";
    const auto count = *rc::gen::inRange(0, 12);
    for (int i = 0; i < count; ++i) {
      target += *rc::gen::elementOf(
          std::vector<std::string>(std::begin(kPieces), std::end(kPieces)));
    }
    const auto method =
        *rc::gen::element<std::string>("GET", "POST", "DELETE", "");
    auto call = ParseOperatorCall(method, target);
    if (call.has_error()) {
      RC_ASSERT(call.error().code == result_code::kMalformedRequest);
      return;
    }
    call.value().body = *rc::gen::arbitrary<std::string>();
    fake_operator_api api;
    const auto outcome = DispatchOperatorCall(api, call.value());
    if (outcome.has_error())
      RC_ASSERT(outcome.error().code != result_code::kOk);
  }));
}
