#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>
#include <string>

#include "ctl/ctl_test_support.h"

using namespace samphire;

// The entry accepts the file and fails before it responds. If samphirectl
// reported a refusal, the operator would resend the file or believe that it is
// not in force; the history of another entry shows that it is.
TEST_CASE("an apply whose response is lost is looked up at another entry") {
  fake_operator_api api;
  const operator_server cut(
      api, operator_server::response_mode::kDropChangeResponses);
  const operator_server other(api);
  const ctl_runner ctl(cut.url() + "," + other.url());
  const auto run = ctl.Run({"apply", kExample});
  CHECK(run.code == 0);
  CHECK(Contains(run.output, "accepted as version 41"));
  CHECK(CountCalls(api, "apply") == 1);
}

// The platform's response to the entry's own write is lost, so the entry
// reports that it does not know the outcome.
TEST_CASE("an apply whose outcome the entry does not know is looked up too") {
  fake_operator_api api;
  const operator_server server(api);
  api.FailNextAfterApply({result_code::kStoreOutcomeUnknown, "", ""});
  const auto run = ctl_runner(server.url()).Run({"apply", kExample});
  CHECK(run.code == 0);
  CHECK(CountCalls(api, "apply") == 1);
}

// The response is lost and no history shows the change, so reporting a refusal
// would be a guess.
TEST_CASE("an apply of unknown outcome exits with 3 and says how to find out") {
  fake_operator_api api;
  const operator_server cut(
      api, operator_server::response_mode::kDropChangeResponses);
  api.DropNextChange();
  const auto run = ctl_runner(cut.url()).Run({"apply", kExample});
  CHECK(run.code == 3);
  CHECK(Contains(run.errors, "5002 apply-outcome-unknown: id "));
  CHECK(Contains(run.errors, "To find out: samphirectl config history"));
  CHECK(CountCalls(api, "history") > 0);
}

// Two operators submit changes concurrently. The response to one is lost, and
// the history shows that the other's change took the version that the first
// required.
TEST_CASE("a lost apply superseded by another change is reported as refused") {
  fake_operator_api api;
  const operator_server cut(
      api, operator_server::response_mode::kDropChangeResponses);
  api.AcceptConcurrentChange();
  const auto run =
      ctl_runner(cut.url()).Run({"apply", kExample, "--expect=40"});
  CHECK(run.code == 1);
  CHECK(Contains(run.errors, "5001 version-conflict"));
}

// The entry freezes while it processes the call, and two operators submit
// changes concurrently. The kernel of the frozen entry still accepts
// connections, so each call to it costs a full timeout; the other entry must be
// called first.
TEST_CASE("a frozen entry does not delay the lookup of a lost apply") {
  fake_operator_api api;
  const operator_server other(api);
  const Poco::Net::ServerSocket frozen(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  const ctl_runner ctl("http://" + frozen.address().toString() + "," +
                       other.url());
  api.AcceptConcurrentChange();
  const auto run =
      ctl.Run({"apply", kExample, "--expect=40", "--timeout_ms=300"});
  CHECK(run.code == 1);
  CHECK(Contains(run.errors, "5001 version-conflict"));
  CHECK(CountCalls(api, "history") == 1);
}

// An entry that is stopping, or has no configuration yet, refuses operators
// before processing the call, so the next entry is called. Any other refusal is
// final.
TEST_CASE("an entry that refuses a change unprocessed is skipped") {
  fake_operator_api api;
  const operator_server first(api);
  const operator_server second(api);
  const ctl_runner ctl(first.url() + "," + second.url());
  api.RefuseNext({result_code::kEntryLeaving, "", ""});
  CHECK(ctl.Run({"apply", kExample}).code == 0);
  CHECK(CountCalls(api, "apply") == 2);
  CHECK(api.version() == 41);
  api.RefuseNext({result_code::kStoreUnreachable, "", ""});
  CHECK(ctl.Run({"apply", kExample}).code == 1);
  CHECK(CountCalls(api, "apply") == 3);
}

TEST_CASE("--wait ends when all members have the version") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  api.DelayMembers(2);
  const auto run = ctl.Run({"apply", kExample, "--wait"});
  CHECK(run.code == 0);
  CHECK(Contains(run.output, "in force everywhere"));
  CHECK(CountCalls(api, "status") == 3);
  api.DelayMembers(1'000'000);
  const auto late = ctl.Run({"apply", kExample, "--wait"});
  CHECK(late.code == 3);
  CHECK(Contains(late.errors, "5011 not-in-force-yet"));
  CHECK(Contains(late.errors, "samphirectl status"));
}

// The response to the second operator is lost. The history shows the proposal
// as accepted, with both names.
TEST_CASE(
    "a witness call whose response is lost is looked up by its proposal") {
  fake_operator_api api;
  const operator_server cut(
      api, operator_server::response_mode::kDropChangeResponses);
  const ctl_runner ctl(cut.url());
  api.RequireWitness();
  const auto proposed = ctl.Run({"apply", kExample});
  CHECK(proposed.code == 1);
  const auto id = ProposalIdIn(proposed);
  api.DropNextChange();
  CHECK(ctl.Run({"witness", id, "--operator=auditor"}).code == 3);
  CHECK(ctl.Run({"witness", id, "--operator=auditor"}).code == 0);
  CHECK(Contains(ctl.Run({"config", "history"}).output, "nimal     auditor"));
}
