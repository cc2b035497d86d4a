#include "platform_entry.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "platform_adapter/stand_in_platform.h"
#include "platform_adapter/wire_target.h"
#include "platform_adapter/wire_text.h"
#include "support/free_address.h"
#include "support/wait_until.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

const std::string kKey = "0123456789abcdef0123456789abcdef";

platform_settings Settings(const std::string& store) {
  platform_settings settings;
  auto& traffic = settings.traffic;
  traffic.place = {"entry-1", "a-1", "a"};
  for (auto* address : {&traffic.caller_address, &traffic.readiness_address,
                        &traffic.lookup_address, &traffic.peer_address,
                        &traffic.metrics_address})
    *address = FreeAddress();
  traffic.peer_key = kKey;
  traffic.settle_time = 0ms;
  traffic.discovery_time = 0ms;
  traffic.bounds.limit_slack = 20;
  settings.store_addresses = {store};
  settings.regions = {{"a-1", "a"}};
  return settings;
}

struct answer {
  int status = 0;
  std::string body;
  std::string stamp;
  std::string retry_after;
};

struct call {
  std::string method = "GET";
  std::string path = "/read/x";
  std::string body;
  std::string deadline = "2000";
  std::vector<std::pair<std::string, std::string>> headers;
};

answer Ask(const std::string& address, const call& what) {
  Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
  Poco::Net::HTTPRequest request(what.method, what.path, "HTTP/1.1");
  request.setHost("h.example");
  request.set("Request-Id", "id-1");
  request.set("Affinity-Key", "17");
  request.set("Request-Deadline", what.deadline);
  for (const auto& [name, value] : what.headers)
    request.add(name, value);
  request.setContentLength(static_cast<std::streamsize>(what.body.size()));
  session.sendRequest(request) << what.body;
  Poco::Net::HTTPResponse response;
  answer got;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), got.body);
  got.status = response.getStatus();
  got.stamp = response.get("Server-Stamp", "");
  got.retry_after = response.get("Retry-After", "");
  return got;
}

bool Eventually(const std::function<bool()>& holds) {
  return WaitUntil(holds, 10s);
}

// One entry, the platform's store and four targets, two of each service.
struct rig {
  stand_in_platform world;
  wire_target read_1{"i-read-1"};
  wire_target read_2{"i-read-2"};
  wire_target write_1{"i-write-1"};
  wire_target write_2{"i-write-2"};
  platform_settings settings = Settings(world.address());
  std::unique_ptr<platform_entry> entry;

  rig() {
    world.Write("config/main", ManifestObject("00000003"));
    for (auto* target : {&read_1, &read_2})
      world.Write("servers/" + target->id(),
                  TargetObject(target->address(), "reads"));
    for (auto* target : {&write_1, &write_2})
      world.Write("servers/" + target->id(),
                  TargetObject(target->address(), "writes"));
  }
  void Start() {
    entry = std::make_unique<platform_entry>(
        settings, peer_keys::Parse(settings.traffic.peer_key).value());
    entry->Start();
  }
  void StartReady() {
    Start();
    REQUIRE(Eventually([&] { return Ready(); }));
  }
  bool Ready() const {
    return Ask(settings.traffic.readiness_address,
               {.path = "/samphirewinch/ready"})
               .status == 200;
  }
  answer Request(const call& what = {}) const {
    return Ask(settings.traffic.caller_address, what);
  }
  answer RequestWithKey(const std::string& key,
                        const std::string& path = "/read/x") const {
    return Request({.path = path, .headers = {{"Credential", key}}});
  }
  wire_target& Reader(const std::string& stamp) {
    return stamp == "stamp.i-read-1" ? read_1 : read_2;
  }
};

}  // namespace

TEST_CASE("a request goes the whole path and comes back unchanged") {
  rig r;
  r.StartReady();
  const auto got = r.Request({.path = "/read/x?a=1", .body = "question"});
  CHECK(got.status == 200);
  CHECK(got.body == "GET /read/x?a=1 question");
  CHECK(got.stamp.starts_with("stamp.i-read"));
  CHECK(
      r.Request({.method = "POST", .path = "/write/y", .body = "claim"}).body ==
      "POST /write/y claim");
  CHECK(r.Request({.path = "/nowhere/"}).status == 404);
  const auto lookup =
      Ask(r.settings.traffic.lookup_address,
          {.path = "/samphirewinch/resolve?name=h.example&region=a&zone=a-1"});
  CHECK(lookup.body == "{\"addrs\":[\"" + r.settings.traffic.caller_address +
                           "\"],\"ttl\":\"2000ms\"}");
  CHECK(Ask(r.settings.traffic.metrics_address, {.path = "/metrics"})
            .body.find("store_calls_total") != std::string::npos);
}

// A field station uploads a season's readings while others do the same. Held
// whole, a few such bodies fill an instance's memory, and it is killed with
// everything that it serves.
TEST_CASE("a long upload reaches its target before it has left its caller") {
  rig r;
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

// No target would take the upload. Its caller is told so and when to come back,
// though it is still sending.
TEST_CASE("a long upload that is not taken is refused as not run") {
  rig r;
  r.StartReady();
  r.write_1.mood = target_mood::kShed;
  r.write_2.mood = target_mood::kShed;
  const auto got = r.Request({.method = "POST",
                              .path = "/write/y",
                              .body = std::string(1'000'000, 'u')});
  CHECK(got.status == 503);
  CHECK_FALSE(got.retry_after.empty());
  CHECK(r.write_1.runs + r.write_2.runs == 0);
}

// The operator adds a failure domain and shortens how long look-ups are kept.
// An entry that reads its settings at its start only would leave the targets
// there idle until somebody restarts it.
TEST_CASE("settings that change are in force without a restart") {
  rig r;
  r.StartReady();
  wire_target moved{"i-new-1"};
  for (auto* target : {&r.read_1, &r.read_2})
    r.world.Write("servers/" + target->id(),
                  TargetObject(target->address(), "reads", "draining"));
  r.world.Write("servers/" + moved.id(),
                Replaced(TargetObject(moved.address(), "reads"), "a-1", "a-2"));
  CHECK(Eventually([&] { return r.Request().status == 503; }));
  auto settings = r.settings;
  settings.regions["a-2"] = "a";
  settings.traffic.bounds.lookup_ttl = 700ms;
  r.entry->Apply(settings);
  CHECK(Eventually([&] { return r.Request().status == 200; }));
  CHECK(moved.runs > 0);
  const auto lookup =
      Ask(r.settings.traffic.lookup_address,
          {.path = "/samphirewinch/resolve?name=h.example&region=a&zone=a-1"});
  CHECK(lookup.body.find("\"700ms\"") != std::string::npos);
}

TEST_CASE("requests with one key stay at one target") {
  rig r;
  r.StartReady();
  for (int i = 0; i < 6; ++i)
    r.Request();
  CHECK((r.read_1.runs == 6 || r.read_2.runs == 6));
}

// An entry that starts in an outage of the store knows no route at all. A 404
// would tell callers that what they ask for does not exist.
TEST_CASE("an entry without a configuration says to come back, not 404") {
  rig r;
  r.world.refuse_with = 503;
  r.Start();
  std::this_thread::sleep_for(200ms);
  CHECK_FALSE(r.Ready());
  const auto got = r.Request();
  CHECK(got.status == 503);
  CHECK_FALSE(got.retry_after.empty());
  r.world.refuse_with = 0;
  CHECK(Eventually([&] { return r.Ready(); }));
}

// A target is full and says that it did not run the request. The caller of a
// claim gets its answer from another target, and the claim is filed once.
TEST_CASE("what a target did not run is run by another") {
  rig r;
  r.StartReady();
  const call claim{.method = "POST", .path = "/write/y", .body = "claim"};
  r.write_1.mood = target_mood::kShed;
  CHECK(r.Request(claim).status == 200);
  CHECK(r.write_2.runs == 1);
  CHECK(r.write_1.runs == 0);
  r.write_2.mood = target_mood::kShed;
  const auto refused = r.Request(claim);
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.retry_after.empty());
}

// The target runs a claim and its answer is lost. Sent again, the claim would
// be paid twice; called "not run", its caller would send it again.
TEST_CASE("a claim whose answer is lost runs once and is not called unrun") {
  rig r;
  r.StartReady();
  r.write_1.mood = target_mood::kCut;
  r.write_2.mood = target_mood::kCut;
  const auto got =
      r.Request({.method = "POST", .path = "/write/y", .body = "claim"});
  CHECK(got.status == 502);
  CHECK(r.write_1.runs + r.write_2.runs == 1);
}

TEST_CASE("a reading whose answer is lost is read elsewhere") {
  rig r;
  r.StartReady();
  auto& home = r.Reader(r.Request().stamp);
  home.mood = target_mood::kCut;
  CHECK(r.Request().status == 200);
  home.mood = target_mood::kFail;
  CHECK(r.Request().status == 200);
}

TEST_CASE("when every target fails, the caller gets the target's own failure") {
  rig r;
  r.StartReady();
  r.read_1.mood = target_mood::kFail;
  r.read_2.mood = target_mood::kFail;
  const auto got = r.Request();
  CHECK(got.status == 500);
  CHECK(got.stamp.starts_with("stamp."));
}

// Another process took over a target's address; the entry that still has the
// old one in its list must not let it run the request.
TEST_CASE("a target that is another one now is passed over") {
  rig r;
  r.StartReady();
  auto& home = r.Reader(r.Request().stamp);
  home.mood = target_mood::kMisdirect;
  CHECK(r.Request().status == 200);
  const int arrivals = home.arrivals;
  CHECK(r.Request().status == 200);
  CHECK(home.arrivals == arrivals);
}

TEST_CASE("a request unanswered at its route's timeout is ended then") {
  rig r;
  r.StartReady();
  r.read_1.mood = target_mood::kHang;
  r.read_2.mood = target_mood::kHang;
  const auto started = std::chrono::steady_clock::now();
  const auto got = r.Request({.deadline = "5000"});
  const auto took = std::chrono::steady_clock::now() - started;
  CHECK(got.status == 504);
  CHECK(took >= 780ms);
  CHECK(took < 1300ms);
  CHECK(
      Eventually([&] { return r.read_1.cancelled + r.read_2.cancelled == 1; }));
}

// A caller gives up and closes. Its work would go on at the target, and in a
// downpour most callers give up: the targets would work for nobody.
TEST_CASE("the work of a caller that leaves is cancelled at once") {
  rig r;
  r.StartReady();
  r.read_1.mood = target_mood::kHang;
  r.read_2.mood = target_mood::kHang;
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

// The entry was so short of processor time that its caller left before the
// request was read. Sent on, it would be work that nobody waits for.
TEST_CASE("the request of a caller that has left is not sent on") {
  rig r;
  r.StartReady();
  for (int i = 0; i < 5; ++i) {
    Poco::Net::StreamSocket caller{
        Poco::Net::SocketAddress(r.settings.traffic.caller_address)};
    // Corked, the request and the close leave in one piece.
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
  rig r;
  r.StartReady();
  auto& home = r.Reader(r.Request().stamp);
  r.world.Write("servers/" + home.id(),
                TargetObject(home.address(), "reads", "draining"));
  CHECK(Eventually([&] {
    const int before = home.runs;
    r.Request();
    return home.runs == before;
  }));
}

TEST_CASE("an evacuated failure domain gets nothing until it is taken back") {
  rig r;
  r.StartReady();
  r.world.Write("evacuations/a-1", R"({"spec":{}})");
  CHECK(Eventually([&] { return r.Request().status == 503; }));
  r.world.Remove("evacuations/a-1");
  CHECK(Eventually([&] { return r.Request().status == 200; }));
}

// A stale reader of the store hands out an older version after a newer one was
// in force; callers of a route that was added would get 404 again.
TEST_CASE("an older configuration never replaces a newer one") {
  rig r;
  r.StartReady();
  r.world.Write("config/main", R"({"spec":{"version":"00000009","listeners":[],
    "clusters":[]}})");
  REQUIRE(Eventually([&] { return r.Request().status == 404; }));
  r.world.Write("config/main", ManifestObject("00000004"));
  std::this_thread::sleep_for(300ms);
  CHECK(r.Request().status == 404);
  r.world.Write("config/main", ManifestObject("0000000a"));
  CHECK(Eventually([&] { return r.Request().status == 200; }));
}

// Targets trust the team header; a caller that could set it could impersonate
// another team.
TEST_CASE("a target receives the caller's team and never its API key") {
  rig r;
  r.world.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  const auto got = r.Request({.headers = {{"Credential", "key-2"},
                                          {"Tenant-Id", "team-2"},
                                          {"tenant-id", "team-3"}}});
  REQUIRE(got.status == 200);
  auto headers = r.Reader(got.stamp).last_headers();
  CHECK(headers["Tenant-Id"] == "team-1");
  CHECK(headers.count("tenant-id") == 0);
  CHECK(headers.count("Credential") == 0);
}

// Guards against running a request whose team is unknown or ambiguous.
TEST_CASE("a request without exactly one known API key is refused") {
  rig r;
  r.world.Write("config/main", TeamManifestObject("00000004"));
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
  rig r;
  r.world.Write("config/main", TeamManifestObject("00000004", true));
  r.StartReady();
  const auto got = r.Request(
      {.headers = {{"Credential", "key-9"}, {"Tenant-Id", "team-1"}}});
  REQUIRE(got.status == 200);
  const auto headers = r.Reader(got.stamp).last_headers();
  CHECK(headers.count("Tenant-Id") == 0);
  CHECK(headers.count("Credential") == 0);
}

// Guards against a revoked API key staying valid until its connection closes.
TEST_CASE("a revoked API key is refused on open connections") {
  rig r;
  // Polling must not use up a limit.
  const std::string limit = R"("ratePerS":50,"burst":20.5,)";
  r.world.Write("config/main",
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
  r.world.Write("config/main",
                Replaced(Replaced(TeamManifestObject("00000005"), limit, ""),
                         R"("key-1",)", ""));
  REQUIRE(Eventually([&] { return send_request() == 401; }));
  CHECK(r.RequestWithKey("key-2").status == 200);
}

// Guards against a retry after the API key is revoked during the first attempt.
TEST_CASE("a revoked API key allows no further attempt") {
  rig r;
  r.world.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  for (auto* target : {&r.read_1, &r.read_2}) {
    target->mood = target_mood::kCut;
    target->work_ms = 500;
  }
  std::thread caller([&] { r.RequestWithKey("key-1"); });
  REQUIRE(Eventually([&] { return r.read_1.runs + r.read_2.runs == 1; }));
  r.world.Write("config/main",
                Replaced(TeamManifestObject("00000005"), R"("key-1",)", ""));
  caller.join();
  CHECK(r.read_1.runs + r.read_2.runs == 1);
}

// Guards against running a request outside the home regions of its team or
// route: "team-2" is restricted to region "b", "/write/" to "a".
TEST_CASE("a request without a common home region reaches no target") {
  rig r;
  r.world.Write("config/main", TeamManifestObject("00000004"));
  r.StartReady();
  CHECK(r.RequestWithKey("key-3", "/write/x").status == 503);
  CHECK(r.RequestWithKey("key-3", "/read/x").status == 503);
  CHECK(r.read_1.arrivals + r.write_1.arrivals == 0);
}

// Guards against requests over the limit using capacity of other teams, and
// against refusals without a Retry-After.
TEST_CASE(
    "a request beyond its team's limit is refused and reaches no target") {
  rig r;
  auto limited = Replaced(TeamManifestObject("00000004"), R"("ratePerS":50)",
                          R"("ratePerS":0.1)");
  r.world.Write("config/main", limited);
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
  r.world.Write("config/main", TeamManifestObject("00000005"));
  CHECK(Eventually([&] { return r.RequestWithKey("key-1").status == 200; }));
}

// An operator's mistake, or another writer's, must not take what is in force.
TEST_CASE("a configuration that can't be read changes nothing") {
  rig r;
  r.StartReady();
  r.world.Write("config/main", R"({"spec":{"version":"zz"}})");
  r.world.Write("servers/i-forged", R"({"spec":7})");
  std::this_thread::sleep_for(300ms);
  CHECK(r.Request().status == 200);
}

// The store goes away for as long as it likes; what was known stays in force.
TEST_CASE("requests are served on while the store is away") {
  rig r;
  r.StartReady();
  r.world.refuse_with = 503;
  std::this_thread::sleep_for(500ms);
  CHECK(r.Request().status == 200);
  CHECK(r.Ready());
}

// Entries are restarted one after the other while the store is away. Each that
// comes back knows nothing, and soon a whole region refuses every caller.
TEST_CASE("an entry that starts while the store is away learns from a peer") {
  rig r;
  r.StartReady();
  r.world.refuse_with = 503;
  auto settings = Settings(r.world.address());
  settings.traffic.place.instance = "entry-2";
  settings.traffic.seeds = {r.settings.traffic.peer_address};
  platform_entry late(settings,
                      peer_keys::Parse(settings.traffic.peer_key).value());
  late.Start();
  CHECK(Eventually(
      [&] { return Ask(settings.traffic.caller_address, {}).status == 200; }));
}

TEST_CASE("a planned stop answers what runs and says at once that it leaves") {
  rig r;
  r.settings.traffic.bounds.lookup_ttl = 100ms;
  r.settings.traffic.bounds.stop_grace = 3000ms;
  r.StartReady();
  std::thread stop([&] { r.entry->Drain(); });
  CHECK(Eventually([&] { return !r.Ready(); }));
  CHECK(r.Request().status == 200);
  stop.join();
}
