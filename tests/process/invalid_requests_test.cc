#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fleet.h"

using namespace samphire;

namespace {

// A call that must be refused, and the result header it must get.
struct invalid_call {
  http_call call;
  std::string expected_result;
};

std::string Header(const http_reply& reply, const std::string& name) {
  const auto found = reply.headers.find(name);
  return found == reply.headers.end() ? "" : found->second;
}

}  // namespace

// Callers are third-party programs. Each kind of invalid request must be
// refused with its own result code, and must not run at a target.
TEST_CASE("process: what callers get wrong is told by number") {
  fleet system(PlanFleet(2));
  const auto address = system.settings(0).caller_address;
  const std::vector<invalid_call> invalid_calls = {
      {{.path = "/v1/services/none/levels/1"}, "2004 unknown-service"},
      {{.path = "/v1/services/s/nowhere"}, "2005 unknown-path"},
      {{.path = "/v1/services/s/levels/../claims"}, "2005 unknown-path"},
      {{.path = "/v2/anything"}, "2005 unknown-path"},
      {{.path = "/v1/services/s/levels/1",
        .headers = {{"Samphirewinch-Deadline-Ms", "soon"}}},
       "2006 bad-deadline"},
      {{.path = "/v1/services/s/levels/1",
        .headers = {{"Samphirewinch-Deadline-Ms", "0"}}},
       "2006 bad-deadline"},
      {{.path = "/v1/services/s/levels/1",
        .headers = {{"Samphirewinch-Deadline-Ms", "-5"}}},
       "2006 bad-deadline"},
      {{.method = "POST", .path = "/v1/services/s/claims", .body = "x"},
       "2007 idempotency-key-missing"},
      {{.method = "POST",
        .path = "/v1/services/s/claims",
        .body = "x",
        .headers = {{"Idempotency-Key", std::string(300, 'k')}}},
       "2008 bad-idempotency-key"},
      {{.method = "POST",
        .path = "/v1/services/s/claims",
        .body = std::string((1 << 20) + 1, 'x'),
        .headers = {{"Idempotency-Key", "large"}}},
       "2003 body-too-large"},
      {{.path = "/v1/lookup?service=none"}, "2004 unknown-service"},
      {{.path = "/v1/lookup?service=s&client=everybody"},
       "2010 bad-client-address"},
  };
  for (auto each : invalid_calls) {
    each.call.address = address;
    const auto reply = Call(each.call);
    INFO(each.call.method << " " << each.call.path);
    CHECK(Header(reply, "Samphirewinch-Result") == each.expected_result);
    CHECK(reply.status >= 400);
    CHECK(Header(reply, "Samphirewinch-Run") == "not-run");
    CHECK(reply.body.find("\"code\":") != std::string::npos);
  }
  CHECK(Call({.address = address, .path = "/healthz"}).status == 200);
  CHECK(Call({.address = address, .path = "/metrics"})
            .body.find("samphire_refusals_total{reason=\"bad-deadline\"} 3") !=
        std::string::npos);
}

// The peer port must accept only requests signed with the fleet's key.
// Otherwise anyone could claim a home region and bypass the shift caps.
TEST_CASE("process: a request that no peer signed is not served as passed on") {
  fleet system(PlanFleet(2));
  const auto reply = Call({.address = system.settings(0).peer_address,
                           .path = "/v1/services/s/levels/1",
                           .headers = {{"Samphirewinch-Home-Region", "east"},
                                       {"Samphirewinch-Peer", "forged"}}});
  CHECK(reply.status >= 400);
  CHECK(Header(reply, "Samphirewinch-Run") == "not-run");
  CHECK(Header(reply, "Samphirewinch-Result").substr(0, 2) == "40");
}
