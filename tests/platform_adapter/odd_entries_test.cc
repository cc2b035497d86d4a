#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/system_clock_source.h"
#include "object_ranks.h"
#include "platform_adapter/raw_store.h"
#include "platform_adapter/wire_text.h"
#include "platform_store.h"
#include "store/http_object_store.h"
#include "store/object_mirror.h"
#include "target_cache.h"
#include "traffic/following/mirror_messages.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

const std::map<std::string, std::string> kRegions = {{"a-1", "a"}};
const std::string kTooLarge = "18446744073709551616";
const std::string kManyDigits(5000, '9');

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Returns the object of a target, with metadata, in which `what` is replaced.
std::string Target(const std::string& name,
                   const std::string& what = "",
                   const std::string& by = "") {
  auto object = Replaced(
      TargetObject("10.0.0.1:80", "reads"), R"({"spec")",
      fmt::format(R"({{"metadata":{{"name":"{}","rev":7}},"spec")", name));
  return what.empty() ? object : Replaced(std::move(object), what, by);
}

// Items that are no proper target, none of which is malformed JSON.
std::vector<std::string> OddItems() {
  const std::string rev = R"("rev":7)";
  const std::string port = "10.0.0.1:80";
  std::vector<std::string> items{"null",
                                 "7",
                                 "true",
                                 R"("x")",
                                 "[]",
                                 "{}",
                                 R"({"metadata":null})",
                                 R"({"metadata":{"name":7,"rev":7}})",
                                 R"({"metadata":{"rev":7}})"};
  for (const std::size_t depth :
       {100, 125, 126, 127, 128, 129, 5000, 200'000}) {
    items.push_back(Nested(depth));
    items.push_back(
        Target("odd", R"("slots":4)", R"("slots":)" + Nested(depth)));
    items.push_back(Target("odd", rev, rev + R"(,"x":)" + Nested(depth)));
  }
  for (const auto& number :
       {std::string("9223372036854775807"), std::string("9223372036854775808"),
        std::string("18446744073709551615"), kTooLarge, kManyDigits,
        "1." + kManyDigits, std::string("1e400"), std::string("-1e400"),
        std::string("1e-400"), std::string("-1"), std::string("0"),
        std::string("1.5"), std::string("-0"), std::string("\"7\"")}) {
    items.push_back(Target("odd", rev, R"("rev":)" + number));
    items.push_back(Target("odd", R"("slots":4)", R"("slots":)" + number));
    items.push_back(Target("odd", R"("seq":4)", R"("seq":)" + number));
    items.push_back(Target("odd", R"({"address")",
                           R"({"born":)" + number + R"(,"address")"));
    if (number.front() != '"')
      items.push_back(Target("odd", port, "10.0.0.1:" + number));
    items.push_back(Target("odd", R"("0ms")", "\"" + kManyDigits + "s\""));
  }
  for (const std::string& address :
       {std::string("10.0.0.1:65536"), std::string("10.0.0.1:0"),
        std::string("10.0.0.1:-1"), std::string("host.example:80"),
        std::string("10.0.0.1"), std::string(":80"), std::string(":"),
        std::string("10.0.0.1:80:80"), std::string("[::1"),
        std::string("10.0.0.1: 80"), std::string("10.0.0.1:http")})
    items.push_back(Target("odd", port, address));
  for (const std::string& name :
       {std::string(), std::string(2000, 'n'), std::string(R"(a\r\nHost: x)"),
        std::string(R"(\u0000)"), std::string(R"(\ud800)"),
        std::string("\xff\xfe"), std::string("a/b"), std::string(" ")})
    items.push_back(Target(name));
  items.push_back(Target("odd", R"("reads")", R"("re\r\nads")"));
  items.push_back(
      Target("odd", R"("v1")", "\"" + std::string(1 << 20, 'v') + "\""));
  items.push_back(
      Target("odd", R"("v1")", "\"" + std::string(3 << 20, 'v') + "\""));
  items.push_back(Target("a"));
  return items;
}

std::string AnswerWith(const std::string& body) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nStore-Era: 7\r\nConnection: close\r\n"
      "Content-Length: {}\r\n\r\n{}",
      body.size(), body);
}

std::string Listing(const std::vector<std::string>& items, bool more = false) {
  return AnswerWith(fmt::format(R"({{"items":[{}],"hasMore":{},"asOf":412}})",
                                fmt::join(items, ","), more));
}

std::string Events(const std::vector<std::string>& items) {
  std::vector<std::string> events;
  events.reserve(items.size());
  for (const auto& each : items)
    events.push_back(R"({"object":)" + each + R"(,"deleted":false})");
  return AnswerWith(
      fmt::format(R"({{"events":[{}],"asOf":412}})", fmt::join(events, ",")));
}

struct odd_setup {
  raw_store peer;
  system_clock_source clock;
  metrics counters;
  platform_store store{
      {.addresses = {peer.address()}, .era_header = "Store-Era"},
      clock,
      counters};

  // Checks that the batch has both sound targets, also for other entries and
  // for the requests of this one.
  void CheckSoundTargets(const result<watch_batch>& batch) {
    INFO((batch ? "" : batch.error().detail));
    REQUIRE(batch);
    object_mirror mirror(RankOfTarget);
    mirror.Apply(batch.value(), clock.now());
    target_cache cache(kRegions, counters);
    std::vector<std::string> ids;
    for (const auto& target : cache.Read(mirror.objects(), clock.now())) {
      if (target.id == "a" || target.id == "b")
        ids.push_back(target.id);
    }
    CHECK(ids == std::vector<std::string>{"a", "b"});
    const auto copy =
        DecodePatchedBatch(EncodePatchedBatch(ToPatchedBatch(batch.value())));
    REQUIRE(copy);
    CHECK(copy->events.size() == batch.value().events.size());
  }
};

// Returns a random JSON value of at most `depth` levels.
std::string RandomValue(std::mt19937_64& random, int depth) {
  static const std::vector<std::string> scalars = {"null",
                                                   "true",
                                                   "0",
                                                   "-1",
                                                   "1e999",
                                                   "1.5",
                                                   kTooLarge,
                                                   R"("")",
                                                   R"("x\u0000")",
                                                   R"("10.0.0.1:99999")",
                                                   R"("draining")",
                                                   kManyDigits};
  static const std::vector<std::string> names = {
      "metadata", "name",    "rev",     "spec",     "info",
      "status",   "address", "service", "zone",     "slots",
      "state",    "seq",     "born",    "coldLeft", "x"};
  const auto kind = random() % 4;
  if (depth == 0 || kind < 2)
    return scalars[random() % scalars.size()];
  std::vector<std::string> parts;
  for (auto i = random() % 4; i > 0; --i) {
    const auto value = RandomValue(random, depth - 1);
    parts.push_back(
        kind == 2
            ? value
            : fmt::format(R"("{}":{})", names[random() % names.size()], value));
  }
  return kind == 2 ? fmt::format("[{}]", fmt::join(parts, ","))
                   : fmt::format("{{{}}}", fmt::join(parts, ","));
}

// Returns the object of a target in which one value is replaced.
std::string SpoiltTarget(std::mt19937_64& random) {
  static const std::vector<std::string> values = {
      R"("odd")", ":7", R"("10.0.0.1:80")", R"("reads")",
      R"("a-1")", ":4", R"("ready")",       R"("0ms")"};
  const auto& value = values[random() % values.size()];
  const auto by = RandomValue(random, 4);
  return Target("odd", value, value[0] == ':' ? ":" + by : by);
}

}  // namespace

// Guards against one odd entry that another writer left in the store, and that
// hides all others from every entry of the fleet, or ends them.
TEST_CASE("an odd entry costs no other one, listed, watched or passed on") {
  odd_setup r;
  for (const auto& odd : OddItems()) {
    INFO(odd.substr(0, 200));
    for (const auto& items :
         {std::vector{odd, Target("a"), Target("b")},
          std::vector{Target("a"), odd, Target("b")},
          std::vector{Target("a"), odd, odd, Target("b"), odd}}) {
      r.peer.SetAnswer(Listing(items));
      r.CheckSoundTargets(r.store.Watch("servers/", {}, 0ms));
      r.peer.SetAnswer(Events(items));
      r.CheckSoundTargets(r.store.Watch("servers/", {411, 7}, 0ms));
    }
  }
  CHECK(r.counters.counter("objects_unreadable_total") > 0);
  CHECK(r.counters.counter("targets_unreadable_total") > 0);
}

TEST_CASE("an odd entry of random form costs no other one") {
  odd_setup r;
  std::mt19937_64 random(20261205);
  for (int i = 0; i < 1500; ++i) {
    const auto odd = i % 2 == 0 ? SpoiltTarget(random) : RandomValue(random, 5);
    INFO(odd.substr(0, 200));
    r.peer.SetAnswer(Listing({Target("a"), odd, Target("b")}));
    r.CheckSoundTargets(r.store.Watch("servers/", {}, 0ms));
  }
}

// Guards against an object of which only the beginning was read: what is
// malformed behind its name and revision would count as whole.
TEST_CASE("an object that is malformed behind its metadata is none") {
  odd_setup r;
  const auto whole = Target("a");
  r.peer.SetAnswer(AnswerWith(whole));
  CHECK(r.store.Get("servers/a"));
  for (const auto& spoilt :
       {whole.substr(0, whole.size() - 1), whole + "}", whole + "7",
        Replaced(whole, R"("slots":4)", R"("slots" 4)"),
        Replaced(whole, R"("slots":4)", R"("slots":)")}) {
    INFO(spoilt);
    r.peer.SetAnswer(AnswerWith(spoilt));
    CHECK(r.store.Get("servers/a").error().code == result_code::kStoreCorrupt);
  }
}

// Guards against a listing that ends at a page on which nothing can be read.
TEST_CASE("a page of odd entries alone does not end a listing") {
  odd_setup r;
  r.peer.SetAnswer(
      Listing({Target("odd", R"("rev":7)", R"("rev":1e400)")}, true));
  // The same page again would never end.
  CHECK(r.store.Watch("servers/", {}, 0ms).error().code ==
        result_code::kStoreCorrupt);
  CHECK(r.counters.counter("objects_unreadable_total") == 2);
}

// Guards against a number that is rounded or wraps around: a revision would
// then belong to another version, and a report would outrank all later ones.
TEST_CASE("numbers of entries are read to the last digit or not at all") {
  odd_setup r;
  r.peer.SetAnswer(
      Listing({Target("a", R"("rev":7)", R"("rev":9007199254740993)"),
               Target("b", R"("rev":7)", R"("rev":18446744073709551615)")}));
  const auto batch = r.store.Watch("servers/", {}, 0ms);
  REQUIRE(batch);
  REQUIRE(batch.value().events.size() == 2);
  CHECK(batch.value().events[0].version == 9007199254740993U);
  CHECK(batch.value().events[1].version == UINT64_MAX);
  r.peer.SetAnswer(
      AnswerWith(R"({"items":[],"hasMore":false,"asOf":)" + kTooLarge + "}"));
  CHECK_FALSE(r.store.Watch("servers/", {}, 0ms));
  const auto sound = RankOfTarget("a", Target("a"));
  for (const std::string number : {"9223372036854775807", "9223372036854775808",
                                   kTooLarge.c_str(), "1e300"}) {
    CHECK(RankOfTarget("a", Target("a", R"("seq":4)", R"("seq":)" + number)) <
          sound);
    CHECK(RankOfTarget("a", Target("a", R"({"address")",
                                   R"({"born":)" + number + R"(,"address")")) ==
          sound);
  }
}

// Guards against the same in the instance list of the product's own path.
TEST_CASE("an odd instance costs no other one") {
  raw_store peer;
  const system_clock_source clock;
  metrics counters;
  http_object_store store({.addresses = {peer.address()}}, clock, counters);
  const std::string sound = R"({"name":"i","role":"entry","state":"live"})";
  for (const auto& odd :
       {std::string("7"), std::string("null"), std::string("[]"),
        std::string("{}"), Nested(127), Nested(200'000),
        R"({"name":)" + Nested(130) + "}", R"({"name":)" + kTooLarge + "e9}"}) {
    INFO(odd.substr(0, 100));
    peer.SetAnswer(AnswerWith(
        fmt::format(R"({{"instances":[{},{},{}]}})", sound, odd, sound)));
    const auto read = store.Instances();
    REQUIRE(read);
    CHECK(read.value().size() >= 2);
    CHECK(read.value().front().name == "i");
    CHECK(read.value().back().name == "i");
  }
  CHECK(counters.counter("instances_unreadable_total") > 0);
}
