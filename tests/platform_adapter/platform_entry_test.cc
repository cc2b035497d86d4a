#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <catch2/catch.hpp>
#include <thread>
#include <utility>
#include <vector>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/wire_text.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

TEST_CASE(
    "a request is forwarded to a target and its response returned unchanged") {
  test_setup r;
  r.StartReady();
  const auto got = r.Request({.path = "/read/x?a=1", .body = "question"});
  CHECK(got.status == 200);
  CHECK(got.body == "GET /read/x?a=1 question");
  CHECK(got.stamp.starts_with("stamp.i-read"));
  CHECK(
      r.Request({.method = "POST", .path = "/write/y", .body = "claim"}).body ==
      "POST /write/y claim");
  CHECK(r.Request({.path = "/nowhere/"}).status == 404);
  const auto lookup = SendCall(
      r.settings.traffic.lookup_address,
      {.path = "/samphirewinch/resolve?name=h.example&region=a&zone=a-1"});
  CHECK(lookup.body == "{\"addrs\":[\"" + r.settings.traffic.caller_address +
                           "\"],\"ttl\":\"2000ms\"}");
  CHECK(SendCall(r.settings.traffic.metrics_address, {.path = "/metrics"})
            .body.find("store_calls_total") != std::string::npos);
}

// Guards against buffering a whole request body. A few large uploads at the
// same time would fill the memory of an instance, which is then killed together
// with all requests that it serves.
TEST_CASE("a long upload is forwarded before it is complete") {
  test_setup r;
  r.StartReady();
  const std::string half(500'000, 'u');
  Poco::Net::HTTPClientSession session{
      Poco::Net::SocketAddress(r.settings.traffic.caller_address)};
  Poco::Net::HTTPRequest request("POST", "/write/y", "HTTP/1.1");
  request.setHost("h.example");
  request.set("Request-Id", "id-1");
  request.set("Request-Deadline", "5000");
  const bool chunked = GENERATE(false, true);
  if (chunked)
    request.setChunkedTransferEncoding(true);
  else
    request.setContentLength(1'000'000);
  auto& body = session.sendRequest(request);
  body << half << std::flush;
  CHECK(
      Eventually([&] { return r.write_1.arrivals + r.write_2.arrivals == 1; }));
  body << half << std::flush;
  Poco::Net::HTTPResponse response;
  std::string got;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), got);
  CHECK(response.getStatus() == 200);
  CHECK(got == "POST /write/y " + half + half);
  CHECK_FALSE(response.getKeepAlive());
}

// Every target sheds the request. The caller must receive a refusal with a
// Retry-After, although it is still sending the body.
TEST_CASE("a long upload that every target sheds is refused as not run") {
  test_setup r;
  r.StartReady();
  r.write_1.behavior = target_behavior::kShed;
  r.write_2.behavior = target_behavior::kShed;
  const auto got = r.Request({.method = "POST",
                              .path = "/write/y",
                              .body = std::string(1'000'000, 'u')});
  CHECK(got.status == 503);
  CHECK_FALSE(got.retry_after.empty());
  CHECK(r.write_1.runs + r.write_2.runs == 0);
}

// The operator adds a failure domain and shortens the time for which look-ups
// may be cached. An entry that reads its settings only when it starts would
// leave the targets of the new domain idle until it is restarted.
TEST_CASE("changed settings are applied without a restart") {
  test_setup r;
  r.StartReady();
  wire_target moved{"i-new-1"};
  for (auto* target : {&r.read_1, &r.read_2})
    r.stand_in.Write("servers/" + target->id(),
                     TargetObject(target->address(), "reads", "draining"));
  r.stand_in.Write(
      "servers/" + moved.id(),
      Replaced(TargetObject(moved.address(), "reads"), "a-1", "a-2"));
  CHECK(Eventually([&] { return r.Request().status == 503; }));
  auto settings = r.settings;
  settings.regions["a-2"] = "a";
  settings.traffic.bounds.lookup_ttl = 700ms;
  r.entry->Apply(settings);
  CHECK(Eventually([&] { return r.Request().status == 200; }));
  CHECK(moved.runs > 0);
  const auto lookup = SendCall(
      r.settings.traffic.lookup_address,
      {.path = "/samphirewinch/resolve?name=h.example&region=a&zone=a-1"});
  CHECK(lookup.body.find("\"700ms\"") != std::string::npos);
}

TEST_CASE("requests with one affinity key go to one target") {
  test_setup r;
  r.StartReady();
  for (int i = 0; i < 6; ++i)
    r.Request();
  CHECK((r.read_1.runs == 6 || r.read_2.runs == 6));
}

// An entry that starts during an outage of the store knows no routes. A 404
// response would tell callers that the requested resource does not exist.
TEST_CASE("an entry without a configuration responds with 503, not 404") {
  test_setup r;
  r.stand_in.refuse_with = 503;
  r.Start();
  std::this_thread::sleep_for(200ms);
  CHECK_FALSE(r.Ready());
  const auto got = r.Request();
  CHECK(got.status == 503);
  CHECK_FALSE(got.retry_after.empty());
  r.stand_in.refuse_with = 0;
  CHECK(Eventually([&] { return r.Ready(); }));
}

// A target sheds a request and marks its response as not executed. Only then
// may a request that is not idempotent be sent to another target; it runs once.
TEST_CASE("a request that a target shed is run by another target") {
  test_setup r;
  r.StartReady();
  const call_request claim{
      .method = "POST", .path = "/write/y", .body = "claim"};
  r.write_1.behavior = target_behavior::kShed;
  CHECK(r.Request(claim).status == 200);
  CHECK(r.write_2.runs == 1);
  CHECK(r.write_1.runs == 0);
  r.write_2.behavior = target_behavior::kShed;
  const auto refused = r.Request(claim);
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.retry_after.empty());
}

// A target runs a request that is not idempotent, and the response is lost. A
// retry would run the request twice, such as paying a claim twice. A response
// that says "not run" would cause the caller to send it again.
TEST_CASE("a claim whose answer is lost runs once and is not called unrun") {
  test_setup r;
  r.StartReady();
  r.write_1.behavior = target_behavior::kCloseWithoutResponse;
  r.write_2.behavior = target_behavior::kCloseWithoutResponse;
  const auto got =
      r.Request({.method = "POST", .path = "/write/y", .body = "claim"});
  CHECK(got.status == 502);
  CHECK(r.write_1.runs + r.write_2.runs == 1);
}

TEST_CASE("an idempotent request whose response is lost is retried elsewhere") {
  test_setup r;
  r.StartReady();
  auto& home = r.TargetWithStamp(r.Request().stamp);
  home.behavior = target_behavior::kCloseWithoutResponse;
  CHECK(r.Request().status == 200);
  home.behavior = target_behavior::kRespondWithError;
  CHECK(r.Request().status == 200);
}

TEST_CASE("when every target fails, the caller gets the target's own failure") {
  test_setup r;
  r.StartReady();
  r.read_1.behavior = target_behavior::kRespondWithError;
  r.read_2.behavior = target_behavior::kRespondWithError;
  const auto got = r.Request();
  CHECK(got.status == 500);
  CHECK(got.stamp.starts_with("stamp."));
}

// Another process has taken over a target's address. An entry that still lists
// the previous target there must not have its requests run by the new one.
TEST_CASE("a target whose address another process took over is skipped") {
  test_setup r;
  r.StartReady();
  auto& home = r.TargetWithStamp(r.Request().stamp);
  home.behavior = target_behavior::kWrongInstance;
  CHECK(r.Request().status == 200);
  const int arrivals = home.arrivals;
  CHECK(r.Request().status == 200);
  CHECK(home.arrivals == arrivals);
}

TEST_CASE("a request without a response is cancelled at its route's timeout") {
  test_setup r;
  r.StartReady();
  r.read_1.behavior = target_behavior::kHang;
  r.read_2.behavior = target_behavior::kHang;
  const auto started = std::chrono::steady_clock::now();
  const auto got = r.Request({.deadline = "5000"});
  const auto took = std::chrono::steady_clock::now() - started;
  CHECK(got.status == 504);
  CHECK(took >= 780ms);
  CHECK(took < 1300ms);
  CHECK(
      Eventually([&] { return r.read_1.cancelled + r.read_2.cancelled == 1; }));
}

// A caller closes its connection before the response. If its request went on at
// the target, then under overload, when most callers cancel, the targets would
// spend their capacity on requests that nobody waits for.
TEST_CASE("the work of a caller that leaves is cancelled at once") {
  test_setup r;
  r.StartReady();
  r.read_1.behavior = target_behavior::kHang;
  r.read_2.behavior = target_behavior::kHang;
  {
    Poco::Net::StreamSocket caller{
        Poco::Net::SocketAddress(r.settings.traffic.caller_address)};
    const std::string bytes =
        "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: z\r\n\r\n";
    caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    REQUIRE(Eventually([&] { return r.read_1.runs + r.read_2.runs == 1; }));
    caller.close();
  }
  const auto left = std::chrono::steady_clock::now();
  CHECK(
      Eventually([&] { return r.read_1.cancelled + r.read_2.cancelled == 1; }));
  CHECK(std::chrono::steady_clock::now() - left < 500ms);
}

// An entry that lacks processor time may read a request only after its caller
// has closed the connection. If it forwarded the request, a target would spend
// capacity on a request that nobody waits for.
TEST_CASE("the request of a caller that has left is not sent on") {
  test_setup r;
  r.StartReady();
  for (int i = 0; i < 5; ++i) {
    Poco::Net::StreamSocket caller{
        Poco::Net::SocketAddress(r.settings.traffic.caller_address)};
    // With TCP_CORK, the request and the end of the connection are sent in one
    // segment.
    caller.setOption(IPPROTO_TCP, TCP_CORK, 1);
    const std::string bytes =
        "GET /read/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: z\r\n\r\n";
    caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    caller.close();
  }
  std::this_thread::sleep_for(300ms);
  CHECK(r.read_1.arrivals + r.read_2.arrivals == 0);
  CHECK(r.Request().status == 200);
}

TEST_CASE("a target that says it leaves gets nothing more") {
  test_setup r;
  r.StartReady();
  auto& home = r.TargetWithStamp(r.Request().stamp);
  r.stand_in.Write("servers/" + home.id(),
                   TargetObject(home.address(), "reads", "draining"));
  CHECK(Eventually([&] {
    const int before = home.runs;
    r.Request();
    return home.runs == before;
  }));
}

TEST_CASE(
    "an evacuated failure domain gets no requests until its evacuation ends") {
  test_setup r;
  r.StartReady();
  r.stand_in.Write("evacuations/a-1", R"({"spec":{}})");
  CHECK(Eventually([&] { return r.Request().status == 503; }));
  r.stand_in.Remove("evacuations/a-1");
  CHECK(Eventually([&] { return r.Request().status == 200; }));
}

// A stale replica of the store may return an older manifest after a newer one
// was applied. Callers of a route that was added would receive 404 again.
TEST_CASE("an older configuration never replaces a newer one") {
  test_setup r;
  r.StartReady();
  r.stand_in.Write("config/main",
                   R"({"spec":{"version":"00000009","listeners":[],
    "clusters":[]}})");
  REQUIRE(Eventually([&] { return r.Request().status == 404; }));
  r.stand_in.Write("config/main", ManifestObject("00000004"));
  std::this_thread::sleep_for(300ms);
  CHECK(r.Request().status == 404);
  r.stand_in.Write("config/main", ManifestObject("0000000a"));
  CHECK(Eventually([&] { return r.Request().status == 200; }));
}

// Targets trust the team header; a caller that could set it could impersonate
// another team.
TEST_CASE("a target receives the caller's team and never its API key") {
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  const auto got = r.Request({.headers = {{"Credential", "key-2"},
                                          {"Tenant-Id", "team-2"},
                                          {"tenant-id", "team-3"}}});
  REQUIRE(got.status == 200);
  auto headers = r.TargetWithStamp(got.stamp).last_headers();
  CHECK(headers["Tenant-Id"] == "team-1");
  CHECK(headers.count("tenant-id") == 0);
  CHECK(headers.count("Credential") == 0);
}

// A caller could otherwise have the entry take the team off as a header that
// belongs to the connection, and be served without one.
TEST_CASE("a caller cannot take its team off by naming it in Connection") {
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  const auto got =
      r.Request({.headers = {{"Connection", "Tenant-Id, Credential"},
                             {"Credential", "key-1"},
                             {"Tenant-Id", "team-2"}}});
  REQUIRE(got.status == 200);
  auto headers = r.TargetWithStamp(got.stamp).last_headers();
  CHECK(headers["Tenant-Id"] == "team-1");
  CHECK(headers.count("Credential") == 0);
}

// Guards against running a request whose team is unknown or ambiguous.
TEST_CASE("a request without exactly one known API key is refused") {
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  CHECK(r.Request().status == 401);
  for (const auto* key : {"", "key-9", "key-1,key-1", "key-1 key-2", "KEY-1"})
    CHECK(r.RequestWithKey(key).status == 401);
  CHECK(r.RequestWithKey(std::string(8000, 'k')).status == 401);
  CHECK(
      r.Request({.headers = {{"Credential", "key-1"}, {"credential", "key-1"}}})
          .status == 401);
  CHECK(r.RequestWithKey("key-1").status == 200);
  CHECK(r.RequestWithKey("key-1", "/nowhere/").status == 404);
  CHECK(r.read_1.runs + r.read_2.runs == 1);
}

TEST_CASE("a route that allows anonymous requests forwards no team") {
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004", true));
  r.StartReady();
  const auto got = r.Request(
      {.headers = {{"Credential", "key-9"}, {"Tenant-Id", "team-1"}}});
  REQUIRE(got.status == 200);
  const auto headers = r.TargetWithStamp(got.stamp).last_headers();
  CHECK(headers.count("Tenant-Id") == 0);
  CHECK(headers.count("Credential") == 0);
}

// Guards against a revoked API key staying valid until its connection closes.
TEST_CASE("a revoked API key is refused on open connections") {
  test_setup r;
  // Polling must not use up a limit.
  const std::string limit = R"("ratePerS":50,"burst":20.5,)";
  r.stand_in.Write("config/main",
                   Replaced(TeamManifestObject("00000004"), limit, ""));
  r.StartReady();
  Poco::Net::HTTPClientSession session{
      Poco::Net::SocketAddress(r.settings.traffic.caller_address)};
  session.setKeepAlive(true);
  const auto send_request = [&] {
    Poco::Net::HTTPRequest request("GET", "/read/x", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Credential", "key-1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    CHECK(response.getKeepAlive());
    return static_cast<int>(response.getStatus());
  };
  REQUIRE(send_request() == 200);
  r.stand_in.Write("config/main",
                   Replaced(Replaced(TeamManifestObject("00000005"), limit, ""),
                            R"("key-1",)", ""));
  REQUIRE(Eventually([&] { return send_request() == 401; }));
  CHECK(r.RequestWithKey("key-2").status == 200);
}

// Guards against a retry after the API key is revoked during the first attempt.
TEST_CASE("a revoked API key allows no further attempt") {
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  for (auto* target : {&r.read_1, &r.read_2}) {
    target->behavior = target_behavior::kCloseWithoutResponse;
    target->work_ms = 500;
  }
  std::thread caller([&] { r.RequestWithKey("key-1"); });
  REQUIRE(Eventually([&] { return r.read_1.runs + r.read_2.runs == 1; }));
  r.stand_in.Write("config/main",
                   Replaced(TeamManifestObject("00000005"), R"("key-1",)", ""));
  caller.join();
  CHECK(r.read_1.runs + r.read_2.runs == 1);
}

// Guards against running a request outside the home regions of its team or
// route: "team-2" is restricted to region "b", "/write/" to "a".
TEST_CASE("a request without a common home region reaches no target") {
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  CHECK(r.RequestWithKey("key-3", "/write/x").status == 503);
  CHECK(r.RequestWithKey("key-3", "/read/x").status == 503);
  CHECK(r.read_1.arrivals + r.write_1.arrivals == 0);
}

// Guards against requests over the limit using capacity of other teams, and
// against refusals without a Retry-After.
TEST_CASE(
    "a request beyond its team's limit is refused and reaches no target") {
  test_setup r;
  auto limited = Replaced(TeamManifestObject("00000004"), R"("ratePerS":50)",
                          R"("ratePerS":0.1)");
  r.stand_in.Write("config/main", limited);
  r.StartReady();
  int served = 0;
  while (served < 50 && r.RequestWithKey("key-1").status == 200)
    ++served;
  CHECK(served >= 4);
  CHECK(served <= 22);
  const auto refused = r.RequestWithKey("key-2");
  CHECK(refused.status == 429);
  CHECK_FALSE(refused.retry_after.empty());
  CHECK(r.read_1.arrivals + r.read_2.arrivals == served);
  r.stand_in.Write("config/main", TeamManifestObject("00000005"));
  CHECK(Eventually([&] { return r.RequestWithKey("key-1").status == 200; }));
}

// An invalid object, by a mistake of the operator or of another writer, must
// not replace the manifest and the targets in use.
TEST_CASE("an invalid configuration changes nothing") {
  test_setup r;
  r.StartReady();
  r.stand_in.Write("config/main", R"({"spec":{"version":"zz"}})");
  r.stand_in.Write("servers/i-forged", R"({"spec":7})");
  std::this_thread::sleep_for(300ms);
  CHECK(r.Request().status == 200);
}

// However long the store is unavailable, the last known manifest and targets
// stay in use.
TEST_CASE("requests are still served while the store is unavailable") {
  test_setup r;
  r.StartReady();
  r.stand_in.refuse_with = 503;
  std::this_thread::sleep_for(500ms);
  CHECK(r.Request().status == 200);
  CHECK(r.Ready());
}

// Entries are restarted one after the other while the store is unavailable. If
// a restarted entry could not get the manifest and the targets from a peer,
// soon all entries of a region would refuse every caller.
TEST_CASE("an entry that starts while the store is away learns from a peer") {
  test_setup r;
  r.StartReady();
  r.stand_in.refuse_with = 503;
  auto settings = TestSettings(r.stand_in.address());
  settings.traffic.place.instance = "entry-2";
  settings.traffic.seeds = {r.settings.traffic.peer_address};
  const auto late = StartEntry(settings);
  CHECK(Eventually([&] {
    return SendCall(settings.traffic.caller_address, {}).status == 200;
  }));
}

TEST_CASE(
    "a planned stop reports not ready at once and still serves requests") {
  test_setup r;
  r.settings.traffic.bounds.lookup_ttl = 100ms;
  r.settings.traffic.bounds.stop_grace = 3000ms;
  r.StartReady();
  std::thread stop([&] { r.entry->Drain(); });
  CHECK(Eventually([&] { return !r.Ready(); }));
  CHECK(r.Request().status == 200);
  stop.join();
}
