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

TEST_CASE("a repeat through any entry gets the answer of the one run") {
  ledger_fixture world;
  const auto first = world.Open("a");
  const auto second = world.Open("b");
  const auto outcome = first->Reserve(world.Request("k"));
  REQUIRE(Is<reserved>(outcome));
  CHECK(Is<in_progress>(second->Reserve(world.Request("k"))));
  CHECK(first->Complete(std::get<reserved>(outcome).ticket, Answer("done")) ==
        settle_effect::kRecorded);
  const auto repeat = second->Reserve(world.Request("k"));
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).answer.body == "done");
  CHECK(std::get<replay>(repeat).code == result_code::kReplayed);
  CHECK(RefusalOf(second->Reserve(world.Request("k", "other"))) ==
        result_code::kKeyReused);
}

TEST_CASE("what was released may run, what is too large keeps its status") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  auto outcome = entry->Reserve(world.Request("k"));
  entry->Release(std::get<reserved>(outcome).ticket);
  outcome = entry->Reserve(world.Request("k", "another"));
  REQUIRE(Is<reserved>(outcome));
  entry->Complete(std::get<reserved>(outcome).ticket,
                  Answer(std::string(kMaxRecordedBody + 1, 'x')));
  const auto repeat = entry->Reserve(world.Request("k", "another"));
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).code == result_code::kAnswerTooLargeToRecord);
  CHECK(std::get<replay>(repeat).answer.status == 201);
  CHECK(std::get<replay>(repeat).answer.body.empty());
}

// An entry dies between reserving a claim and recording its answer. The claim
// may have been paid, so a caller who sends it again is told that this is not
// known, through every entry, until an operator has settled it.
TEST_CASE("a reservation whose holder died is never run again by itself") {
  ledger_fixture world;
  auto dying = world.Open("a");
  REQUIRE(Is<reserved>(dying->Reserve(world.Request("k"))));
  dying.reset();
  const auto other = world.Open("b");
  CHECK(Is<in_progress>(other->Reserve(world.Request("k"))));
  // The instance came back as another process: the holder is surely gone.
  CHECK(Is<in_doubt>(world.Open("a", 2)->Reserve(world.Request("k"))));
  CHECK(other->Resolve("claims-desk", "k", resolution::kDone, "ana", "seen")
            .error()
            .code == result_code::kLedgerKeySettled);
  world.clock.Advance(std::chrono::hours(48));
  CHECK(Is<in_doubt>(other->Reserve(world.Request("k"))));
  REQUIRE(other->Unresolved().value().entries.size() == 1);
  CHECK(other->Resolve("claims-desk", "k", resolution::kReleased, "ana",
                       "target's log has no trace of it"));
  const auto record = other->Show("claims-desk", "k").value();
  CHECK(record.entry.settled_by == "ana");
  CHECK(record.entry.reason == "target's log has no trace of it");
  CHECK(other->Unresolved().value().entries.empty());
  CHECK(Is<reserved>(other->Reserve(world.Request("k"))));
}

TEST_CASE("an operator's settlement is checked and repeatable") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  CHECK(
      entry->Resolve("s", "none", resolution::kDone, "ana", "r").error().code ==
      result_code::kUnknownLedgerKey);
  const auto outcome = entry->Reserve(world.Request("k"));
  entry->MarkUnknown(std::get<reserved>(outcome).ticket);
  CHECK(Is<in_doubt>(entry->Reserve(world.Request("k"))));
  CHECK(entry->Resolve("claims-desk", "k", resolution::kDone, "ana", "")
            .error()
            .code == result_code::kValueOutOfRange);
  world.store.LoseNextAnswers(1);
  CHECK(entry->Resolve("claims-desk", "k", resolution::kDone, "ana", "paid"));
  const auto repeat = entry->Reserve(world.Request("k"));
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).settled_by_operator);
}

// The platform is down when a claim arrives. The caller is refused at once and
// told that nothing ran; the same claim goes through when it is back.
TEST_CASE("with the platform down nothing is reserved") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  REQUIRE(Is<reserved>(entry->Reserve(world.Request("before"))));
  world.store.SetDown(true);
  const auto before = world.clock.now();
  CHECK(RefusalOf(entry->Reserve(world.Request("k"))) ==
        result_code::kLedgerUnavailable);
  CHECK(RefusalOf(world.Open("b")->Reserve(world.Request("k"))) ==
        result_code::kLedgerUnavailable);
  CHECK(world.clock.now() - before < milliseconds(100));
  world.store.SetDown(false);
  CHECK(Is<reserved>(entry->Reserve(world.Request("k"))));
}

// The platform goes down while a target runs a claim. The caller still gets
// the answer; a repeat is not run, and gets the same answer once the platform
// is back and the entry has recorded it.
TEST_CASE("a completion that can't be written is kept until it is") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  const auto other = world.Open("b");
  const auto outcome = entry->Reserve(world.Request("k"));
  world.store.SetDown(true);
  CHECK(entry->Complete(std::get<reserved>(outcome).ticket, Answer("paid")) ==
        settle_effect::kPending);
  for (int i = 0; i < 20; ++i) {
    world.clock.Advance(milliseconds(500));
    entry->RetryPending();
  }
  CHECK(entry->pending() == 1);
  world.store.SetDown(false);
  CHECK(Is<in_doubt>(other->Reserve(world.Request("k"))));
  world.clock.Advance(std::chrono::seconds(6));
  entry->RetryPending();
  CHECK(entry->pending() == 0);
  CHECK(Is<replay>(other->Reserve(world.Request("k"))));
}

// The answer to a reservation's write is lost, both ways: it took effect, or
// it never arrived. The caller notices nothing, and the claim runs once.
TEST_CASE("a lost answer is settled before anything is dispatched") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  REQUIRE(Is<reserved>(entry->Reserve(world.Request("warm"))));
  world.store.LoseNextAnswers(1);
  CHECK(Is<reserved>(entry->Reserve(world.Request("k1"))));
  world.store.LoseNextRequests(1);
  CHECK(Is<reserved>(entry->Reserve(world.Request("k2"))));
  world.store.LoseNextAnswers(100);
  CHECK(RefusalOf(entry->Reserve(world.Request("k3"))) == result_code::kOk);
  world.store.LoseNextRequests(100);
  CHECK(RefusalOf(entry->Reserve(world.Request("k4"))) ==
        result_code::kLedgerUnavailable);
  world.store.LoseNextRequests(0);
  world.store.LoseNextAnswers(0);
  CHECK(entry->pending() == 1);
  entry->RetryPending();
  CHECK(entry->pending() == 0);
  CHECK(Is<reserved>(entry->Reserve(world.Request("k4"))));
}

// Another program overwrites a shard. Reading it as empty would run every
// claim in it again, so all of them are refused and the object is left as is.
TEST_CASE("a corrupt shard is refused and never overwritten") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  REQUIRE(Is<reserved>(entry->Reserve(world.Request("k"))));
  const auto key = ShardKey(ShardOf("claims-desk", "k", 2));
  const auto object = world.store.Get(key).value();
  REQUIRE(world.store.Put(key, "garbage", object.version));
  const auto other = world.Open("b");
  CHECK(RefusalOf(other->Reserve(world.Request("k"))) ==
        result_code::kStoreCorrupt);
  CHECK(RefusalOf(entry->Reserve(world.Request("k"))) ==
        result_code::kStoreCorrupt);
  CHECK(world.store.Get(key).value().value == "garbage");
  CHECK(other->Unresolved().value().corrupt_shards.size() == 1);
}

// A declaration with another number of shards reaches one entry before the
// others. Were keys spread by it, the two would look for one claim in
// different places and pay it twice.
TEST_CASE("the platform's number of shards counts, not the declared one") {
  ledger_fixture world;
  REQUIRE(Is<reserved>(world.Open("a")->Reserve(world.Request("k"))));
  ledger_options options;
  options.self = {"b", 1};
  options.shards = 64;
  ledger changed(world.store, world.router, world.clock, world.registry,
                 options);
  CHECK(Is<in_progress>(changed.Reserve(world.Request("k"))));
  CHECK(changed.shards() == 2);
}

TEST_CASE("old settled entries are dropped, unresolved ones stay") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  for (int i = 0; i < 20; ++i) {
    const auto outcome =
        entry->Reserve(world.Request("done-" + std::to_string(i)));
    entry->Complete(std::get<reserved>(outcome).ticket, Answer("x"));
    REQUIRE(Is<reserved>(
        entry->Reserve(world.Request("doubt-" + std::to_string(i)))));
  }
  world.clock.Advance(std::chrono::hours(2));
  for (int i = 0; i < 4; ++i)
    entry->Reserve(world.Request("later-" + std::to_string(i)));
  CHECK(entry->Show("claims-desk", "done-3").error().code ==
        result_code::kUnknownLedgerKey);
  CHECK(entry->Unresolved().value().entries.size() == 20);
}

// More claims arrive within the retention than the shards hold. Further ones
// are refused as not run, yet those reserved can still be completed, and no
// value grows past what the platform takes.
TEST_CASE("a full shard refuses new work and still takes completions") {
  ledger_fixture world;
  const auto entry = world.Open("a");
  std::vector<reservation_ticket> tickets;
  auto code = result_code::kOk;
  for (int i = 0; code == result_code::kOk && i < 20000; ++i) {
    const auto key = std::string(250, 'k') + std::to_string(i);
    const auto outcome = entry->Reserve(world.Request(key));
    code = RefusalOf(outcome);
    if (Is<reserved>(outcome))
      tickets.push_back(std::get<reserved>(outcome).ticket);
  }
  CHECK(code == result_code::kLedgerFull);
  CHECK(entry->Complete(tickets.front(), Answer(std::string(4000, 'x'))) ==
        settle_effect::kRecorded);
  const auto objects = world.store.List("ledger/").value();
  for (const auto& object : objects)
    CHECK(object.value.size() < 600'000U);
}

TEST_CASE("threads of several entries dispatch each key once, in batches") {
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
        entry.Complete(std::get<reserved>(outcome).ticket, Answer("x"));
      }
    });
  }
  for (auto& thread : threads)
    thread.join();
  for (const auto& count : runs)
    CHECK(count == 1);
}
