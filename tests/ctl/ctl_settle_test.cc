#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>
#include <string>

#include "ctl/ctl_test_support.h"

using namespace samphire;

// The entry accepts the file and dies before it answers. An operator who took
// that for a refusal would send it again, or go home believing it not in
// force; another entry's history knows better.
TEST_CASE("an apply whose answer is lost is settled by another entry") {
  fake_operator_api api;
  const operator_server cut(api, operator_server::answers::kCutChanges);
  const operator_server other(api);
  const ctl_runner ctl(cut.url() + "," + other.url());
  const auto run = ctl.Run({"apply", kExample});
  CHECK(run.code == 0);
  CHECK(Has(run.output, "accepted as version 41"));
  CHECK(CountOf(api, "apply") == 1);
}

// The platform loses the answer to the entry's own write.
TEST_CASE("an entry that does not know is settled by the history too") {
  fake_operator_api api;
  const operator_server server(api);
  api.FailNextAfterEffect({result_code::kStoreOutcomeUnknown, "", ""});
  const auto run = ctl_runner(server.url()).Run({"apply", kExample});
  CHECK(run.code == 0);
  CHECK(CountOf(api, "apply") == 1);
}

// Neither the answer comes nor does any history show the change. Saying
// "refused" would be a guess.
TEST_CASE("an apply that can't be settled ends with 3 and says how") {
  fake_operator_api api;
  const operator_server cut(api, operator_server::answers::kCutChanges);
  api.LoseNext();
  const auto run = ctl_runner(cut.url()).Run({"apply", kExample});
  CHECK(run.code == 3);
  CHECK(Has(run.errors, "5002 apply-outcome-unknown: id "));
  CHECK(Has(run.errors, "To find out: samphirectl config history"));
  CHECK(CountOf(api, "history") > 0);
}

// Two operators race. The answer to one is lost, and the history shows that
// the other's change took the version it had to follow.
TEST_CASE("a lost apply that was overtaken is known to be refused") {
  fake_operator_api api;
  const operator_server cut(api, operator_server::answers::kCutChanges);
  api.AcceptOther();
  const auto run =
      ctl_runner(cut.url()).Run({"apply", kExample, "--expect=40"});
  CHECK(run.code == 1);
  CHECK(Has(run.errors, "5001 version-conflict"));
}

// The entry freezes while it holds the call, and two operators race. Its
// kernel still takes connections, so every question to it costs a timeout; the
// other entry is asked first.
TEST_CASE("a frozen entry does not keep a lost apply from being settled") {
  fake_operator_api api;
  const operator_server other(api);
  const Poco::Net::ServerSocket frozen(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  const ctl_runner ctl("http://" + frozen.address().toString() + "," +
                       other.url());
  api.AcceptOther();
  const auto run =
      ctl.Run({"apply", kExample, "--expect=40", "--timeout_ms=300"});
  CHECK(run.code == 1);
  CHECK(Has(run.errors, "5001 version-conflict"));
  CHECK(CountOf(api, "history") == 1);
}

// An entry that is stopping, or has no configuration yet, turns operators
// away; the next one takes the call.
TEST_CASE("an entry that turns a change away is passed over") {
  fake_operator_api api;
  const operator_server first(api);
  const operator_server second(api);
  const ctl_runner ctl(first.url() + "," + second.url());
  api.RefuseNext({result_code::kEntryLeaving, "", ""});
  CHECK(ctl.Run({"apply", kExample}).code == 0);
  CHECK(CountOf(api, "apply") == 2);
  CHECK(api.version() == 41);
  api.RefuseNext({result_code::kStoreUnreachable, "", ""});
  CHECK(ctl.Run({"apply", kExample}).code == 1);
  CHECK(CountOf(api, "apply") == 3);
}

TEST_CASE("--wait ends when every member has the version") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  api.LagMembers(2);
  const auto run = ctl.Run({"apply", kExample, "--wait"});
  CHECK(run.code == 0);
  CHECK(Has(run.output, "in force everywhere"));
  CHECK(CountOf(api, "status") == 3);
  api.LagMembers(1'000'000);
  const auto late = ctl.Run({"apply", kExample, "--wait"});
  CHECK(late.code == 3);
  CHECK(Has(late.errors, "5011 not-in-force-yet"));
  CHECK(Has(late.errors, "samphirectl status"));
}

// The second operator's answer is lost: the history shows the proposal as
// accepted, with both names.
TEST_CASE("a witness whose answer is lost is settled by the proposal") {
  fake_operator_api api;
  const operator_server cut(api, operator_server::answers::kCutChanges);
  const ctl_runner ctl(cut.url());
  api.NeedWitness();
  const auto proposed = ctl.Run({"apply", kExample});
  CHECK(proposed.code == 1);
  const auto id = ProposalIn(proposed);
  api.LoseNext();
  CHECK(ctl.Run({"witness", id, "--operator=auditor"}).code == 3);
  CHECK(ctl.Run({"witness", id, "--operator=auditor"}).code == 0);
  CHECK(Has(ctl.Run({"config", "history"}).output, "nimal     auditor"));
}
