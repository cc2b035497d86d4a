#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "base/system_clock_source.h"
#include "platform_adapter/raw_store.h"
#include "platform_adapter/wire_text.h"
#include "platform_store.h"
#include "store/http_object_store.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// A call and the whole answer to it.
struct store_case {
  std::string name;
  std::function<result_code()> call;
  std::string body;
  bool writes = false;
};

template <typename T>
result_code CodeOf(const result<T>& got) {
  return got ? result_code::kOk : got.error().code;
}

std::string AnswerInLength(const std::string& body) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nEtag: 412\r\nStore-Era: 7\r\nContent-Length: {}\r\n"
      "Content-Type: application/json\r\nEtag-Note: 1\r\n\r\n{}",
      body.size(), body);
}

std::string AnswerInChunks(const std::string& body) {
  const auto chunk =
      body.empty() ? "" : fmt::format("{:x}\r\n{}\r\n", body.size(), body);
  return fmt::format(
      "HTTP/1.1 200 OK\r\nEtag: 412\r\nStore-Era: 7\r\n"
      "Transfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
      chunk);
}

void CheckCuts(raw_store& store, const store_case& one) {
  const auto expected = one.writes ? result_code::kStoreOutcomeUnknown
                                   : result_code::kStoreUnreachable;
  for (const auto& whole :
       {AnswerInLength(one.body), AnswerInChunks(one.body)}) {
    store.SetAnswer(whole);
    INFO(one.name);
    CHECK(one.call() == result_code::kOk);
    for (std::size_t at = 0; at < whole.size(); ++at) {
      store.SetAnswer(whole.substr(0, at));
      INFO("cut after '" << whole.substr(0, at) << "'");
      CHECK(one.call() == expected);
    }
    // Without its length, an answer has no certain end.
    const auto length = whole.find("Content-Length");
    auto spoilt = whole;
    if (length != std::string::npos)
      spoilt[length + 8] = 'l' + 1;
    else
      spoilt[whole.find("chunked")] = 'k';
    store.SetAnswer(spoilt);
    CHECK(one.call() == expected);
    for (const auto* status : {"000", "099", "600", "999", "20", "2000"}) {
      INFO(status);
      store.SetAnswer(Replaced(whole, "200", status));
      CHECK(one.call() == expected);
    }
  }
}

}  // namespace

// Guards against an answer of the store that ends early and counts as whole:
// without its era, its version or a part of a listing, mirrors and leases would
// act on what the store never said.
TEST_CASE("answers of the platform's store that are cut count as none") {
  raw_store peer;
  const system_clock_source clock;
  metrics counters;
  http_store_options options{.addresses = {peer.address()},
                             .era_header = "Store-Era"};
  platform_store store(options, clock, counters);
  const std::string object =
      R"({"metadata":{"name":"a","rev":412},"spec":{},"status":null})";
  const auto listing =
      R"({"items":[)" + object + R"(],"hasMore":false,"asOf":412})";
  const std::vector<store_case> cases{
      {"get", [&] { return CodeOf(store.Get("k/a")); }, object},
      {"listing", [&] { return CodeOf(store.List("k/")); }, listing},
      {"watch",
       [&] {
         return CodeOf(store.Watch("k/", {411, 7}, 10ms));
       },
       R"({"events":[{"object":)" + object +
           R"(,"deleted":false}],"asOf":412})"},
      {"write", [&] { return CodeOf(store.Put("k/a", R"({"spec":{}})", 0)); },
       object, true},
      {"delete", [&] { return CodeOf(store.Delete("k/a", 412)); }, "", true}};
  for (const auto& one : cases)
    CheckCuts(peer, one);
}

// Guards against an era or version that is read in another way than the store
// wrote it: a newer era would void every lease and mirror of the one before.
TEST_CASE("an era of the platform's store that is no number fails the call") {
  raw_store peer;
  const system_clock_source clock;
  metrics counters;
  platform_store store(
      {.addresses = {peer.address()}, .era_header = "Store-Era"}, clock,
      counters);
  const auto whole =
      AnswerInLength(R"({"items":[],"hasMore":false,"asOf":412})");
  for (const auto* era :
       {"7,1", "+71", "0x7", "7 1", "-1", "18446744073709551616", "7;1",
        "7\r\nStore-Era: 71", "7\r\nStore-Era: 7"}) {
    INFO(era);
    peer.SetAnswer(
        Replaced(whole, "Store-Era: 7", std::string("Store-Era: ") + era));
    CHECK(CodeOf(store.List("k/")) == result_code::kStoreCorrupt);
  }
  peer.SetAnswer(whole);
  CHECK(CodeOf(store.List("k/")) == result_code::kOk);
}

// Guards against answers that are cut on the product's own path.
TEST_CASE("answers of the own path's store that are cut count as none") {
  raw_store peer;
  const system_clock_source clock;
  metrics counters;
  http_object_store store({.addresses = {peer.address()}}, clock, counters);
  const std::vector<store_case> cases{
      {"get", [&] { return CodeOf(store.Get("a")); }, "value"},
      {"listing", [&] { return CodeOf(store.List("a")); }, R"({"objects":[]})"},
      {"watch",
       [&] {
         return CodeOf(store.Watch("a", {411, 7}, 10ms));
       },
       R"({"cursor":412,"era":7,"reset":false,"events":[]})"},
      {"write", [&] { return CodeOf(store.Put("a", "1", 0)); },
       R"({"version":412})", true},
      {"delete", [&] { return CodeOf(store.Delete("a", 412)); }, "", true}};
  for (const auto& one : cases)
    CheckCuts(peer, one);
}

// Guards against a follower that asks for the same changes again and again,
// since there are too many of them for one answer.
TEST_CASE("changes that are too large for one answer are listed instead") {
  raw_store store;
  const system_clock_source clock;
  metrics counters;
  http_store_options options;
  options.addresses = {store.address()};
  options.era_header = "Store-Era";
  platform_store client(options, clock, counters);
  store.SetAnswer(AnswerInLength(
      R"({"items":[{"metadata":{"name":"a","rev":9}}],"hasMore":false,)"
      R"("asOf":12})"));
  store.SetAnswerToWatches(
      AnswerInLength(std::string(std::size_t{25} << 20U, ' ')));
  const auto batch = client.Watch("things/", {5, 7}, 100ms);
  REQUIRE(batch);
  CHECK(batch.value().reset);
  REQUIRE(batch.value().events.size() == 1);
  CHECK(batch.value().events.front().key == "things/a");
}
