#include "ledger/ledger.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"
#include "ledger/ledger_fixture.h"
#include "ledger/ledger_layout.h"

using namespace samphire;

TEST_CASE(
    "a repeat through any entry gets the response of the single execution") {
  ledger_fixture fixture;
  const auto first = fixture.Open("a");
  const auto second = fixture.Open("b");
  const auto outcome = first->Reserve(fixture.Request("k"));
  REQUIRE(Is<reserved>(outcome));
  CHECK(Is<in_progress>(second->Reserve(fixture.Request("k"))));
  CHECK(first->Complete(std::get<reserved>(outcome).ticket, Response("done")) ==
        settle_effect::kRecorded);
  const auto repeat = second->Reserve(fixture.Request("k"));
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).response.body == "done");
  CHECK(std::get<replay>(repeat).code == result_code::kReplayed);
  CHECK(RefusalOf(second->Reserve(fixture.Request("k", "other"))) ==
        result_code::kKeyReused);
}

TEST_CASE(
    "a released key can be reserved; an oversized response keeps its status") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  auto outcome = entry->Reserve(fixture.Request("k"));
  entry->Release(std::get<reserved>(outcome).ticket);
  outcome = entry->Reserve(fixture.Request("k", "another"));
  REQUIRE(Is<reserved>(outcome));
  entry->Complete(std::get<reserved>(outcome).ticket,
                  Response(std::string(kMaxRecordedBody + 1, 'x')));
  const auto repeat = entry->Reserve(fixture.Request("k", "another"));
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).code == result_code::kAnswerTooLargeToRecord);
  CHECK(std::get<replay>(repeat).response.status == 201);
  CHECK(std::get<replay>(repeat).response.body.empty());
}

// An entry fails between reserving a request and recording its response. The
// target may have executed the request, so a caller that repeats it through any
// entry is told that the outcome is unknown, until an operator settles it.
TEST_CASE(
    "a reservation whose holder failed is not executed again automatically") {
  ledger_fixture fixture;
  auto crashing = fixture.Open("a");
  REQUIRE(Is<reserved>(crashing->Reserve(fixture.Request("k"))));
  crashing.reset();
  const auto other = fixture.Open("b");
  CHECK(Is<in_progress>(other->Reserve(fixture.Request("k"))));
  // A new process of the same instance proves that the holder has terminated.
  CHECK(Is<in_doubt>(fixture.Open("a", 2)->Reserve(fixture.Request("k"))));
  CHECK(other->Resolve("claims-desk", "k", resolution::kDone, "ana", "seen")
            .error()
            .code == result_code::kLedgerKeySettled);
  fixture.clock.Advance(std::chrono::hours(48));
  CHECK(Is<in_doubt>(other->Reserve(fixture.Request("k"))));
  REQUIRE(other->Unresolved().value().entries.size() == 1);
  CHECK(other->Resolve("claims-desk", "k", resolution::kReleased, "ana",
                       "target's log has no trace of it"));
  const auto record = other->Show("claims-desk", "k").value();
  CHECK(record.entry.settled_by == "ana");
  CHECK(record.entry.reason == "target's log has no trace of it");
  CHECK(other->Unresolved().value().entries.empty());
  CHECK(Is<reserved>(other->Reserve(fixture.Request("k"))));
}

TEST_CASE("an operator's decision is validated and idempotent") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  CHECK(
      entry->Resolve("s", "none", resolution::kDone, "ana", "r").error().code ==
      result_code::kUnknownLedgerKey);
  const auto outcome = entry->Reserve(fixture.Request("k"));
  entry->MarkUnknown(std::get<reserved>(outcome).ticket);
  CHECK(Is<in_doubt>(entry->Reserve(fixture.Request("k"))));
  CHECK(entry->Resolve("claims-desk", "k", resolution::kDone, "ana", "")
            .error()
            .code == result_code::kValueOutOfRange);
  fixture.store.LoseNextResponses(1);
  CHECK(entry->Resolve("claims-desk", "k", resolution::kDone, "ana", "paid"));
  const auto repeat = entry->Reserve(fixture.Request("k"));
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).settled_by_operator);
}

// The platform is unavailable when a request arrives. The caller is refused at
// once and told that nothing was executed; the same request succeeds when the
// platform is available again.
TEST_CASE("reservations are refused while the platform is unavailable") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  REQUIRE(Is<reserved>(entry->Reserve(fixture.Request("before"))));
  fixture.store.SetDown(true);
  const auto before = fixture.clock.now();
  CHECK(RefusalOf(entry->Reserve(fixture.Request("k"))) ==
        result_code::kLedgerUnavailable);
  CHECK(RefusalOf(fixture.Open("b")->Reserve(fixture.Request("k"))) ==
        result_code::kLedgerUnavailable);
  CHECK(fixture.clock.now() - before < milliseconds(100));
  fixture.store.SetDown(false);
  CHECK(Is<reserved>(entry->Reserve(fixture.Request("k"))));
}

// The platform becomes unavailable while a target executes a request. The
// caller still gets the response. A repeat is not executed, and gets the same
// response once the platform is available and the entry has recorded it.
TEST_CASE("a completion that can't be written is kept until it can") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  const auto other = fixture.Open("b");
  const auto outcome = entry->Reserve(fixture.Request("k"));
  fixture.store.SetDown(true);
  CHECK(entry->Complete(std::get<reserved>(outcome).ticket, Response("paid")) ==
        settle_effect::kPending);
  for (int i = 0; i < 20; ++i) {
    fixture.clock.Advance(milliseconds(500));
    entry->RetryPending();
  }
  CHECK(entry->pending() == 1);
  fixture.store.SetDown(false);
  CHECK(Is<in_doubt>(other->Reserve(fixture.Request("k"))));
  fixture.clock.Advance(std::chrono::seconds(6));
  entry->RetryPending();
  CHECK(entry->pending() == 0);
  CHECK(Is<replay>(other->Reserve(fixture.Request("k"))));
}

// The response to the write of a reservation is lost, in both ways: the write
// took effect, or its request never arrived. The caller notices neither, and
// the request is executed once.
TEST_CASE("a write of unknown outcome is clarified before dispatch") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  REQUIRE(Is<reserved>(entry->Reserve(fixture.Request("warm"))));
  fixture.store.LoseNextResponses(1);
  CHECK(Is<reserved>(entry->Reserve(fixture.Request("k1"))));
  fixture.store.LoseNextRequests(1);
  CHECK(Is<reserved>(entry->Reserve(fixture.Request("k2"))));
  fixture.store.LoseNextResponses(100);
  CHECK(RefusalOf(entry->Reserve(fixture.Request("k3"))) == result_code::kOk);
  fixture.store.LoseNextRequests(100);
  CHECK(RefusalOf(entry->Reserve(fixture.Request("k4"))) ==
        result_code::kLedgerUnavailable);
  fixture.store.LoseNextRequests(0);
  fixture.store.LoseNextResponses(0);
  CHECK(entry->pending() == 1);
  entry->RetryPending();
  CHECK(entry->pending() == 0);
  CHECK(Is<reserved>(entry->Reserve(fixture.Request("k4"))));
}

// Another program overwrites a shard. If it were read as empty, every request
// recorded in it would be executed again; so all of them are refused and the
// object is left unchanged.
TEST_CASE("a corrupt shard is refused and never overwritten") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  REQUIRE(Is<reserved>(entry->Reserve(fixture.Request("k"))));
  const auto key = ShardKey(ShardOf("claims-desk", "k", 2));
  const auto object = fixture.store.Get(key).value();
  REQUIRE(fixture.store.Put(key, "garbage", object.version));
  const auto other = fixture.Open("b");
  CHECK(RefusalOf(other->Reserve(fixture.Request("k"))) ==
        result_code::kStoreCorrupt);
  CHECK(RefusalOf(entry->Reserve(fixture.Request("k"))) ==
        result_code::kStoreCorrupt);
  CHECK(fixture.store.Get(key).value().value == "garbage");
  CHECK(other->Unresolved().value().corrupt_shards.size() == 1);
}

// A declaration with a different number of shards reaches one entry before the
// others. If keys were distributed by it, the two entries would look for one
// request in different shards and execute it twice.
TEST_CASE("the stored number of shards overrides the declared one") {
  ledger_fixture fixture;
  REQUIRE(Is<reserved>(fixture.Open("a")->Reserve(fixture.Request("k"))));
  ledger_options options;
  options.self = {"b", 1};
  options.shards = 64;
  ledger changed(fixture.store, fixture.router, fixture.clock, fixture.registry,
                 options);
  CHECK(Is<in_progress>(changed.Reserve(fixture.Request("k"))));
  CHECK(changed.shards() == 2);
}

TEST_CASE("settled entries expire after the retention, unresolved ones stay") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  for (int i = 0; i < 20; ++i) {
    const auto outcome =
        entry->Reserve(fixture.Request("done-" + std::to_string(i)));
    entry->Complete(std::get<reserved>(outcome).ticket, Response("x"));
    REQUIRE(Is<reserved>(
        entry->Reserve(fixture.Request("doubt-" + std::to_string(i)))));
  }
  fixture.clock.Advance(std::chrono::hours(2));
  for (int i = 0; i < 4; ++i)
    entry->Reserve(fixture.Request("later-" + std::to_string(i)));
  CHECK(entry->Show("claims-desk", "done-3").error().code ==
        result_code::kUnknownLedgerKey);
  CHECK(entry->Unresolved().value().entries.size() == 20);
}

// More requests arrive within the retention than the shards can hold. Further
// ones are refused as not run, yet existing reservations can still be
// completed, and no value outgrows what the platform accepts.
TEST_CASE("a full shard refuses reservations and still accepts completions") {
  ledger_fixture fixture;
  const auto entry = fixture.Open("a");
  std::vector<reservation_ticket> tickets;
  auto code = result_code::kOk;
  for (int i = 0; code == result_code::kOk && i < 20000; ++i) {
    const auto key = std::string(250, 'k') + std::to_string(i);
    const auto outcome = entry->Reserve(fixture.Request(key));
    code = RefusalOf(outcome);
    if (Is<reserved>(outcome))
      tickets.push_back(std::get<reserved>(outcome).ticket);
  }
  CHECK(code == result_code::kLedgerFull);
  CHECK(entry->Complete(tickets.front(), Response(std::string(4000, 'x'))) ==
        settle_effect::kRecorded);
  const auto objects = fixture.store.List("ledger/").value();
  for (const auto& object : objects)
    CHECK(object.value.size() < 600'000U);
}

TEST_CASE("concurrent entries dispatch each key once") {
  fake_object_store store;
  local_shard_router router;
  system_clock_source clock;
  metrics registry;
  constexpr std::size_t kEntries = 3;
  constexpr std::size_t kThreads = 4;
  constexpr int kKeys = 40;
  std::vector<std::unique_ptr<ledger>> entries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    ledger_options options;
    options.self = {"entry-" + std::to_string(i), 1};
    options.shards = 2;
    options.batch_interval = milliseconds(1);
    options.max_attempts = 50;
    entries.push_back(
        std::make_unique<ledger>(store, router, clock, registry, options));
  }
  std::array<std::atomic<int>, kKeys> runs{};
  std::vector<std::thread> threads;
  threads.reserve(kEntries * kThreads);
  for (std::size_t t = 0; t < kEntries * kThreads; ++t) {
    threads.emplace_back([&, t] {
      auto& entry = *entries[t % kEntries];
      for (int k = 0; k < kKeys; ++k) {
        const auto outcome =
            entry.Reserve({"s", std::to_string(k), "d",
                           clock.now() + std::chrono::seconds(60)});
        if (!Is<reserved>(outcome))
          continue;
        ++runs[k];
        entry.Complete(std::get<reserved>(outcome).ticket, Response("x"));
      }
    });
  }
  for (auto& thread : threads)
    thread.join();
  for (const auto& count : runs)
    CHECK(count == 1);
}
