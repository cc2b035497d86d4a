#include "allowance/loan_ledger.h"

#include <catch2/catch.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <limits>
#include <sstream>

#include "support/small_service.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// A lender with free slots and a borrower with none. The test delivers the
// messages between them.
struct loan_pair {
  loan_pair() : lender(1, 2), borrower(1, 1) {
    borrower.slots.SetOwnedSlots({}, now());
    borrower_loans.SetLenders({{"lender", 2}});
  }

  time_point now() const { return borrower.now; }
  void Pass(duration time) {
    borrower.now += time;
    lender.now += time;
  }
  loan_step_result Borrow() { return borrower_loans.Advance(now()); }
  loan_step_result ToLender(const loan_message& message) {
    return lender_loans.Receive("borrower", message, now());
  }
  loan_step_result ToBorrower(const loan_message& message) {
    return borrower_loans.Receive("lender", message, now());
  }
  // Queues a caller's request at the borrower and returns the loan request that
  // it causes.
  loan_message SubmitAndRequest() {
    borrower.Submit("reading", 900ms);
    return Borrow().messages.at(0).message;
  }
  std::uint32_t LenderFree() { return lender.slots.status(now()).free; }

  dispatcher_fixture lender;
  dispatcher_fixture borrower;
  limits bounds;
  loan_ledger lender_loans{lender.slots, "small", bounds, 1, 1};
  loan_ledger borrower_loans{borrower.slots, "small", bounds, 2, 2};
};

template <typename T>
const T& As(const loan_message& message) {
  return std::get<T>(message);
}

}  // namespace

TEST_CASE("a borrowed slot serves a waiting request and is returned") {
  loan_pair pair;
  const auto grant =
      pair.ToLender(pair.SubmitAndRequest()).messages.at(0).message;
  CHECK(pair.LenderFree() == 1);
  const auto step = pair.ToBorrower(grant);
  REQUIRE(step.wakeups.size() == 1);
  const auto slot = std::get<slot_grant>(step.wakeups[0].result);
  CHECK(slot.loan_id);
  pair.borrower.Finish(slot);
  const auto back = pair.Borrow().messages.at(0).message;
  const auto closed = pair.ToLender(back).messages.at(0).message;
  CHECK(std::holds_alternative<loan_return_ack>(closed));
  CHECK(pair.LenderFree() == 2);
  pair.ToBorrower(closed);
  CHECK(pair.borrower_loans.NextDue() == time_point::max());
}

// The response to a request is lost, so the lender's slot is idle. If it stayed
// lent for good, the lender's own callers would wait for it.
TEST_CASE("a lost grant costs the slot only until the request expires") {
  loan_pair pair;
  const auto request = pair.SubmitAndRequest();
  pair.ToLender(request);
  CHECK(pair.LenderFree() == 1);
  pair.Pass(pair.borrower_loans.NextDue() - pair.now());
  const auto step = pair.Borrow();
  bool given_up = false;
  for (const auto& each : step.messages) {
    if (std::holds_alternative<loan_return>(each.message)) {
      pair.ToLender(each.message);
      given_up = true;
    }
  }
  CHECK(given_up);
  CHECK(pair.LenderFree() == 2);
}

// The borrower dies, or its return is lost for good. A slot reclaimed too early
// would run two requests at once.
TEST_CASE("a loan without a return is reclaimed only after its longest work") {
  loan_pair pair;
  pair.ToLender(pair.SubmitAndRequest());
  pair.Pass(250ms + 20ms + 1000ms - 1ms);
  pair.lender_loans.Advance(pair.now());
  CHECK(pair.LenderFree() == 1);
  pair.Pass(1ms);
  pair.lender_loans.Advance(pair.now());
  CHECK(pair.LenderFree() == 2);
  CHECK(pair.lender_loans.counts().reclaimed == 1);
}

TEST_CASE(
    "a duplicate request takes one slot and a duplicate grant is used once") {
  loan_pair pair;
  const auto request = pair.SubmitAndRequest();
  const auto grant = pair.ToLender(request).messages.at(0).message;
  const auto again = pair.ToLender(request).messages.at(0).message;
  CHECK(As<loan_grant>(again).loan_id == As<loan_grant>(grant).loan_id);
  CHECK(pair.LenderFree() == 1);
  CHECK(pair.ToBorrower(grant).wakeups.size() == 1);
  const auto step = pair.ToBorrower(again);
  CHECK(step.wakeups.empty());
  // If it were returned, the slot would be lent again while work runs on it.
  CHECK(step.messages.empty());
}

// The grant arrives after its time to live, as when the lender was paused. Work
// started on it could still run after the lender has reclaimed the slot.
TEST_CASE("a grant that arrives too late is returned unused") {
  loan_pair pair;
  const auto grant =
      pair.ToLender(pair.SubmitAndRequest()).messages.at(0).message;
  pair.Pass(250ms);
  const auto step = pair.ToBorrower(grant);
  CHECK(step.wakeups.empty());
  CHECK(pair.borrower.slots.status(pair.now()).borrowed == 0);
  REQUIRE_FALSE(step.messages.empty());
  bool returned = false;
  for (const auto& each : step.messages)
    returned = returned || std::holds_alternative<loan_return>(each.message);
  CHECK(returned);
}

TEST_CASE(
    "a loan starts no work after its time to live, but work may end later") {
  loan_pair pair;
  const auto grant =
      pair.ToLender(pair.SubmitAndRequest()).messages.at(0).message;
  const auto step = pair.ToBorrower(grant);
  const auto slot = std::get<slot_grant>(step.wakeups.at(0).result);
  pair.borrower.Submit("reading", 900ms);
  pair.Pass(251ms);
  CHECK(pair.borrower.Finish(slot).empty());
  CHECK_FALSE(pair.borrower.slots.HasLoan(99));
  pair.Borrow();
  CHECK(pair.borrower.slots.status(pair.now()).borrowed == 0);
}

// A process is replaced on the same instance while work of the earlier process
// still runs on a loan. If the new process returned the loan, the slot would be
// used twice.
TEST_CASE("a process does not return a loan of its predecessor") {
  loan_pair pair;
  const auto grant =
      pair.ToLender(pair.SubmitAndRequest()).messages.at(0).message;
  loan_ledger successor(pair.borrower.slots, "small", pair.bounds, 3, 3);
  const auto step = successor.Receive("lender", grant, pair.now());
  for (const auto& each : step.messages)
    CHECK_FALSE(std::holds_alternative<loan_return>(each.message));
  CHECK(step.wakeups.empty());
  CHECK(pair.LenderFree() == 1);
}

TEST_CASE("a return for an earlier process of the lender frees nothing") {
  loan_pair pair;
  pair.ToLender(pair.SubmitAndRequest());
  pair.ToLender(loan_return{"small", 2, 77, 99, 1});
  CHECK(pair.LenderFree() == 1);
}

TEST_CASE("a request gets a slot within half its time to live, or is refused") {
  loan_pair pair;
  const auto first = pair.lender.Grant();
  pair.lender.Grant();
  CHECK(pair.ToLender(pair.SubmitAndRequest()).messages.empty());
  pair.Pass(10ms);
  pair.lender.Finish(first);
  const auto step = pair.lender_loans.Advance(pair.now());
  REQUIRE(step.messages.size() == 1);
  CHECK(std::holds_alternative<loan_grant>(step.messages[0].message));
  CHECK(pair.ToLender(pair.SubmitAndRequest()).messages.empty());
  pair.Pass(125ms);
  const auto late = pair.lender_loans.Advance(pair.now());
  REQUIRE(late.messages.size() == 1);
  CHECK(std::holds_alternative<loan_refusal>(late.messages[0].message));
}

TEST_CASE("a loan is renewed unless the lender needs its slot") {
  for (const bool needed : {false, true}) {
    loan_pair pair;
    const auto grant =
        pair.ToLender(pair.SubmitAndRequest()).messages.at(0).message;
    pair.ToBorrower(grant);
    pair.borrower.Submit("reading", 900ms);
    pair.borrower_loans.SetLenders({});
    pair.Pass(150ms);
    std::optional<loan_message> renewal;
    for (const auto& each : pair.Borrow().messages) {
      if (std::holds_alternative<loan_renewal>(each.message))
        renewal = each.message;
    }
    REQUIRE(renewal);
    if (needed) {
      while (std::holds_alternative<slot_grant>(
          pair.lender.Submit("reading", 900ms))) {
      }
    }
    const auto response = pair.ToLender(*renewal).messages.at(0).message;
    CHECK(std::holds_alternative<loan_refusal>(response) == needed);
  }
}

// A faulty or hostile peer requests a loan of centuries or of negative
// duration.
TEST_CASE("durations out of bounds are refused") {
  constexpr auto kHuge = std::numeric_limits<std::int64_t>::max();
  constexpr auto kTiny = std::numeric_limits<std::int64_t>::min();
  for (const auto bad : {kHuge, kTiny, std::int64_t{-1}}) {
    loan_pair pair;
    for (const auto& request : {loan_request{"small", 2, 1, bad, 1000, 0},
                                loan_request{"small", 2, 1, 1000, bad, 0},
                                loan_request{"small", 2, 1, 1000, 1000, bad}}) {
      const auto step = pair.ToLender(request);
      REQUIRE(step.messages.size() == 1);
      CHECK(std::holds_alternative<loan_refusal>(step.messages[0].message));
    }
    CHECK(pair.LenderFree() == 2);
  }
}

TEST_CASE(
    "a slot goes to the request that has waited longest, local or of a peer") {
  loan_pair pair;
  const auto first = pair.lender.Grant();
  const auto second = pair.lender.Grant();
  pair.lender.Submit("reading", 900ms);
  const auto older = loan_request{"small", 2, 1, 250'000, 1'000'000, 100'000};
  pair.ToLender(older);
  CHECK(pair.lender.Finish(first).empty());
  CHECK(pair.lender_loans.Advance(pair.now()).messages.size() == 1);
  pair.Pass(30ms);
  const auto younger = loan_request{"small", 2, 2, 250'000, 1'000'000, 0};
  pair.ToLender(younger);
  CHECK(pair.lender.Finish(second).size() == 1);
}

// An entry is shutting down. If it handed over a slot partition while one of
// its slots is lent, two entries would use that slot.
TEST_CASE("a leaving entry lends no more and counts the loans still out") {
  loan_pair pair;
  const auto grant =
      pair.ToLender(pair.SubmitAndRequest()).messages.at(0).message;
  pair.lender_loans.Leave();
  CHECK(pair.lender_loans.lent_out() == 1);
  const auto refused =
      pair.ToLender(loan_request{"small", 2, 50, 1000, 1000, 0});
  REQUIRE(refused.messages.size() == 1);
  CHECK(std::holds_alternative<loan_refusal>(refused.messages[0].message));
  const auto& lent = As<loan_grant>(grant);
  pair.ToLender(loan_return{"small", 2, lent.request_id, 1, lent.loan_id});
  CHECK(pair.lender_loans.lent_out() == 0);
}

TEST_CASE("a message is unchanged by encoding and decoding") {
  const loan_message sent = loan_request{"small", 1, 2, 3, 4, 5};
  std::stringstream bytes;
  cereal::PortableBinaryOutputArchive writer(bytes);
  writer(sent);
  loan_message received;
  cereal::PortableBinaryInputArchive reader(bytes);
  reader(received);
  const auto& request = As<loan_request>(received);
  CHECK(request.service == "small");
  CHECK(request.borrower_incarnation == 1);
  CHECK(request.waited_us == 5);
}
