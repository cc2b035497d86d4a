#include "store/http_object_store.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <thread>

#include "base/system_clock_source.h"
#include "store/stand_in_server.h"
#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// The stand-in platform and a client of it, over loopback.
struct platform_rig {
  explicit platform_rig(std::size_t kept_events = 100)
      : objects(clock, kept_events) {}

  system_clock_source clock;
  stand_in_objects objects;
  stand_in_server server{"127.0.0.1:0", objects};
  metrics registry;
  http_object_store store{{{server.address()}}, clock, registry};
};

// Accepts one connection, waits for bytes, sends `answer` and closes.
class raw_peer {
 public:
  explicit raw_peer(std::string answer)
      : thread_([this, answer = std::move(answer)] {
          auto connection = listener_.acceptConnection();
          char buffer[4096];
          connection.receiveBytes(buffer, sizeof buffer);
          if (!answer.empty())
            connection.sendBytes(answer.data(),
                                 static_cast<int>(answer.size()));
        }) {}
  ~raw_peer() { thread_.join(); }
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

std::string ClosedAddress() {
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

TEST_CASE("objects go through HTTP whole, whatever their key and size") {
  platform_rig rig;
  const std::string key = "seat/sul poa/7?x=%41&é";
  const std::string value(stand_in_objects::kMaxValueBytes, 'x');
  const auto version = rig.store.Put(key, value, 0).value();
  CHECK(rig.store.Get(key).value().version == version);
  CHECK(rig.store.Get(key).value().value == value);
  const auto quoted = std::string("{\"a\":\"\\n\n\"}");
  const auto next = rig.store.Put(key, quoted, version).value();
  CHECK(next > version);
  const auto listed = rig.store.List("seat/sul ").value();
  REQUIRE(listed.size() == 1);
  CHECK(listed[0].key == key);
  CHECK(listed[0].value == quoted);
  CHECK(rig.store.Put(key, value + "x", next).error().code ==
        result_code::kStoreValueTooLarge);
  CHECK(rig.store.Put(key, "y", version).error().code ==
        result_code::kStoreConflict);
  CHECK(rig.store.Delete(key, version).error().code ==
        result_code::kStoreConflict);
  CHECK(rig.store.Delete(key, next));
  CHECK(rig.store.Get(key).error().code == result_code::kStoreNotFound);
  CHECK(rig.registry.counter("store_calls_total", "kind=\"put\"") == 4);
  CHECK(rig.registry.counter("store_errors_total",
                             "reason=\"store-conflict\"") == 2);
}

TEST_CASE("instances are told over HTTP as they were set") {
  platform_rig rig;
  rig.objects.SetInstance({"e1", "entry", "127.0.0.1:1", "kandy", "kandy-a",
                           instance_state::kLeaving});
  const auto list = rig.store.Instances().value();
  REQUIRE(list.size() == 1);
  CHECK(list[0].name == "e1");
  CHECK(list[0].failure_domain == "kandy-a");
  CHECK(list[0].state == instance_state::kLeaving);
}

TEST_CASE("a write whose answer is lost is of unknown outcome") {
  // The platform stores the value and the connection breaks before its answer
  // arrives, or it breaks before the platform saw the request. The two look
  // alike; a user whose acknowledgement was taken for "not run" would see it
  // run a second time.
  platform_rig rig;
  const bool took_effect = GENERATE(true, false);
  (took_effect ? rig.server.faults().lose_answers
               : rig.server.faults().lose_requests) = 1;
  CHECK(rig.store.Put("a", "1", 0).error().code ==
        result_code::kStoreOutcomeUnknown);
  CHECK(rig.store.Get("a").has_value() == took_effect);
}

TEST_CASE("an answer that is cut short or late leaves a write unknown") {
  // The platform's process dies while it answers, or hangs. A part of an
  // answer taken for a whole one would make a lost write look done.
  const auto answer = GENERATE(
      as<std::string>(), "",
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"ver",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
      "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", "nonsense");
  const raw_peer peer(answer);
  // The second address must not be tried: it might run the write again.
  const system_clock_source clock;
  stand_in_objects objects(clock);
  const stand_in_server second("127.0.0.1:0", objects);
  CHECK(PutTo({peer.address(), second.address()}) ==
        result_code::kStoreOutcomeUnknown);
  CHECK(objects.List("").value().empty());
}

TEST_CASE("a platform that can't be reached surely did not write") {
  // One of the platform's addresses is dead. Callers of a fleet that gave up
  // there would be refused although another address answers.
  CHECK(PutTo({ClosedAddress()}) == result_code::kStoreUnreachable);
  platform_rig rig;
  CHECK(PutTo({ClosedAddress(), rig.server.address()}) == result_code::kOk);
  rig.server.faults().down = true;
  CHECK(PutTo({rig.server.address()}) == result_code::kStoreUnreachable);
}

TEST_CASE("a connection that the platform closed while idle is not used") {
  // The platform restarts or closes idle connections. A write sent on such a
  // connection would be of unknown outcome for nothing: an operator would see
  // doubtful ledger entries after every quiet night.
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

TEST_CASE("a watch tells of writes and of an outage that cuts it") {
  // The platform goes down while entries wait on it. An entry that went on
  // waiting would not notice and would show an old configuration as confirmed.
  platform_rig rig;
  const auto cursor = rig.store.Watch("config/", 0, 0ms).value().cursor;
  result<watch_batch> got = MakeError(result_code::kUsage);
  std::thread waiting([&] { got = rig.store.Watch("config/", cursor, 60s); });
  REQUIRE(rig.store.Put("seat/1", "x", 0));
  REQUIRE(rig.store.Put("config/root", "x", 0));
  waiting.join();
  REQUIRE(got);
  REQUIRE(got.value().events.size() == 1);
  CHECK(got.value().events[0].key == "config/root");
  std::thread cut(
      [&] { got = rig.store.Watch("config/", got.value().cursor, 60s); });
  while (rig.server.faults().calls[4] < 3)
    std::this_thread::yield();
  CHECK(Post(rig.server.address(), "/v1/faults", R"({"down":true})") == 200);
  cut.join();
  REQUIRE_FALSE(got);
  CHECK(got.error().code == result_code::kStoreUnreachable);
}

TEST_CASE("a watch that lags too far, or outlived the platform, is reset") {
  // A paused entry comes back after more writes than the platform remembers,
  // or the platform lost its log. An entry that was told "no events" would
  // never learn of the changes in between.
  platform_rig rig(3);
  const auto cursor = rig.store.Watch("", 0, 0ms).value().cursor;
  for (const auto* key : {"a", "b", "c"})
    REQUIRE(rig.store.Put(key, "x", 0));
  CHECK(rig.store.Watch("", cursor, 60s).value().events.size() == 3);
  REQUIRE(rig.store.Put("d", "x", 0));
  CHECK(rig.store.Watch("", cursor, 60s).value().reset);
  CHECK(rig.store.Watch("", cursor + 1000, 60s).value().reset);
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
