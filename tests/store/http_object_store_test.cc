#include "store/http_object_store.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <thread>

#include "base/system_clock_source.h"
#include "store/stand_in_server.h"
#include "support/manual_clock.h"
#include "support/relay.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// The stand-in platform and a client of it, connected over loopback.
struct http_store_fixture {
  explicit http_store_fixture(std::size_t max_logged_events = 100)
      : objects(clock, max_logged_events) {}

  system_clock_source clock;
  stand_in_objects objects;
  stand_in_server server{"127.0.0.1:0", objects};
  metrics registry;
  http_object_store store{{{server.address()}}, clock, registry};
};

// Accepts one connection, waits for bytes, sends a fixed response and closes.
class fixed_response_server {
 public:
  explicit fixed_response_server(std::string response_text)
      : thread_([this, response_text = std::move(response_text)] {
          auto connection = listener_.acceptConnection();
          char buffer[4096];
          connection.receiveBytes(buffer, sizeof buffer);
          if (!response_text.empty())
            connection.sendBytes(response_text.data(),
                                 static_cast<int>(response_text.size()));
        }) {}
  ~fixed_response_server() { thread_.join(); }
  std::string address() const { return listener_.address().toString(); }

 private:
  Poco::Net::ServerSocket listener_{Poco::Net::SocketAddress("127.0.0.1:0")};
  std::thread thread_;
};

int Post(const std::string& address,
         const std::string& uri,
         const std::string& body) {
  Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
  Poco::Net::HTTPRequest request("POST", uri, "HTTP/1.1");
  request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  session.receiveResponse(response);
  return response.getStatus();
}

std::string UnusedAddress() {
  const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
  return socket.address().toString();
}

result_code PutTo(std::vector<std::string> addresses) {
  const system_clock_source clock;
  metrics registry;
  http_object_store store({std::move(addresses), 500ms, 300ms}, clock,
                          registry);
  const auto put = store.Put("a", "1", 0);
  return put ? result_code::kOk : put.error().code;
}

}  // namespace

TEST_CASE("objects of any key and size are transferred unchanged over HTTP") {
  http_store_fixture fixture;
  const std::string key = "seat/sul poa/7?x=%41&é";
  const std::string value(stand_in_objects::kMaxValueBytes, 'x');
  const auto version = fixture.store.Put(key, value, 0).value();
  CHECK(fixture.store.Get(key).value().version == version);
  CHECK(fixture.store.Get(key).value().value == value);
  const auto quoted = std::string("{\"a\":\"\\n\n\"}");
  const auto next = fixture.store.Put(key, quoted, version).value();
  CHECK(next > version);
  const auto listed = fixture.store.List("seat/sul ").value();
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].key == key);
  CHECK(listed[0].value == quoted);
  CHECK(fixture.store.Put(key, value + "x", next).error().code ==
        result_code::kStoreValueTooLarge);
  CHECK(fixture.store.Put(key, "y", version).error().code ==
        result_code::kStoreConflict);
  CHECK(fixture.store.Delete(key, version).error().code ==
        result_code::kStoreConflict);
  CHECK(fixture.store.Delete(key, next));
  CHECK(fixture.store.Get(key).error().code == result_code::kStoreNotFound);
  CHECK(fixture.registry.counter("store_calls_total", "kind=\"put\"") == 4);
  CHECK(fixture.registry.counter("store_errors_total",
                                 "reason=\"store-conflict\"") == 2);
}

TEST_CASE("the instance list is transferred unchanged over HTTP") {
  http_store_fixture fixture;
  fixture.objects.SetInstance({"e1", "entry", "127.0.0.1:1", "kandy", "kandy-a",
                               instance_state::kLeaving});
  const auto list = fixture.store.Instances().value();
  REQUIRE(list.size() == 1);
  CHECK(list[0].name == "e1");
  CHECK(list[0].failure_domain == "kandy-a");
  CHECK(list[0].state == instance_state::kLeaving);
}

TEST_CASE("a write whose response is lost has an unknown outcome") {
  // The connection breaks after the platform stored the value and before its
  // response arrives, or before the platform received the request. The two are
  // indistinguishable; if the acknowledgement of a user were taken for "not
  // executed", it would be executed a second time.
  http_store_fixture fixture;
  const bool took_effect = GENERATE(true, false);
  (took_effect ? fixture.server.faults().drop_responses
               : fixture.server.faults().drop_requests) = 1;
  CHECK(fixture.store.Put("a", "1", 0).error().code ==
        result_code::kStoreOutcomeUnknown);
  CHECK(fixture.store.Get("a").has_value() == took_effect);
}

TEST_CASE("a truncated or late response leaves a write's outcome unknown") {
  // The platform's process crashes or hangs while it responds. If a partial
  // response were taken for a complete one, a lost write would be reported as
  // done.
  const auto response_text = GENERATE(
      as<std::string>(), "",
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"ver",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", "nonsense");
  const fixed_response_server peer(response_text);
  // The second address must not be tried: the write might be executed again.
  const system_clock_source clock;
  stand_in_objects objects(clock);
  const stand_in_server second("127.0.0.1:0", objects);
  CHECK(PutTo({peer.address(), second.address()}) ==
        result_code::kStoreOutcomeUnknown);
  CHECK(objects.List("").value().empty());
}

// Guards against large values that never arrive over a small link, because each
// call ends in the middle of the response.
TEST_CASE("a value that arrives for longer than the timeout is read") {
  const system_clock_source clock;
  stand_in_objects objects(clock);
  const stand_in_server server("127.0.0.1:0", objects);
  const std::string value(900'000, 'v');
  REQUIRE(objects.Put("a", value, 0));
  // 3 Mbit/s.
  relay link("127.0.0.1", server.address());
  link.SetBandwidth(relay::direction::kReturn, 375'000);
  metrics registry;
  http_object_store store(
      {.addresses = {link.address()}, .response_timeout = 1500ms}, clock,
      registry);
  const auto read = store.Get("a");
  REQUIRE(read);
  CHECK(read.value().value == value);
}

TEST_CASE("a write to an unreachable platform is known to have had no effect") {
  // One of the platform's addresses is unreachable. If a client failed there,
  // callers would be refused although another address responds.
  CHECK(PutTo({UnusedAddress()}) == result_code::kStoreUnreachable);
  http_store_fixture fixture;
  CHECK(PutTo({UnusedAddress(), fixture.server.address()}) == result_code::kOk);
  fixture.server.faults().down = true;
  CHECK(PutTo({fixture.server.address()}) == result_code::kStoreUnreachable);
}

TEST_CASE("a connection that the platform closed while idle is not reused") {
  // The platform restarts or closes idle connections. A write sent on such a
  // connection would needlessly have an unknown outcome: an operator would see
  // unresolved ledger entries after every quiet night.
  const system_clock_source clock;
  stand_in_objects objects(clock);
  metrics registry;
  auto server = std::make_unique<stand_in_server>("127.0.0.1:0", objects);
  const auto address = server->address();
  http_object_store store({{address}}, clock, registry);
  REQUIRE(store.Put("a", "1", 0));
  server.reset();
  CHECK(store.Put("b", "1", 0).error().code == result_code::kStoreUnreachable);
  server = std::make_unique<stand_in_server>(address, objects);
  CHECK(store.Put("b", "1", 0));
}

TEST_CASE("a watch returns writes and fails when an outage interrupts it") {
  // The platform goes down while entries wait in a watch. An entry that kept
  // waiting would not notice and would report an old configuration as
  // confirmed.
  http_store_fixture fixture;
  const auto cursor = fixture.store.Watch("config/", 0, 0ms).value().cursor;
  result<watch_batch> got = MakeError(result_code::kUsage);
  std::thread waiting(
      [&] { got = fixture.store.Watch("config/", cursor, 60s); });
  REQUIRE(fixture.store.Put("seat/1", "x", 0));
  REQUIRE(fixture.store.Put("config/root", "x", 0));
  waiting.join();
  REQUIRE(got);
  REQUIRE(got.value().events.size() == 1);
  CHECK(got.value().events[0].key == "config/root");
  std::thread interrupted(
      [&] { got = fixture.store.Watch("config/", got.value().cursor, 60s); });
  while (fixture.server.faults().calls[4] < 3)
    std::this_thread::yield();
  CHECK(Post(fixture.server.address(), "/v1/faults", R"({"down":true})") ==
        200);
  interrupted.join();
  REQUIRE_FALSE(got);
  CHECK(got.error().code == result_code::kStoreUnreachable);
}

TEST_CASE("a watch from a cursor outside the platform's log is reset") {
  // A paused entry resumes after more writes than the platform logs, or the
  // platform has lost its log. An entry that received an empty batch would
  // never learn of the changes in between.
  http_store_fixture fixture(3);
  const auto cursor = fixture.store.Watch("", 0, 0ms).value().cursor;
  for (const auto* key : {"a", "b", "c"})
    REQUIRE(fixture.store.Put(key, "x", 0));
  CHECK(fixture.store.Watch("", cursor, 60s).value().events.size() == 3);
  REQUIRE(fixture.store.Put("d", "x", 0));
  CHECK(fixture.store.Watch("", cursor, 60s).value().reset);
  CHECK(fixture.store.Watch("", cursor.revision + 1000, 60s).value().reset);
}

TEST_CASE("the instance list shows a change only after its lag") {
  manual_clock clock;
  stand_in_objects objects(clock);
  objects.SetInstanceLag(2s);
  objects.SetInstance({"e1", "entry", "", "kandy", "kandy-a"});
  clock.Advance(1999ms);
  CHECK(objects.Instances().value().empty());
  clock.Advance(1ms);
  CHECK(objects.Instances().value().size() == 1);
  objects.RemoveInstance("e1");
  CHECK(objects.Instances().value().size() == 1);
  clock.Advance(2s);
  CHECK(objects.Instances().value().empty());
}
