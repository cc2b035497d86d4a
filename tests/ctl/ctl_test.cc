#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <string>

#include "ctl/caller_port.h"
#include "ctl/ctl_runner.h"
#include "ctl/operator_server.h"

using namespace samphire;

namespace {

constexpr const char* kExample =
    SAMPHIRE_SOURCE_DIR "/examples/consortium.json";

bool Has(const std::string& text, const std::string& part) {
  INFO(text);
  return text.find(part) != std::string::npos;
}

int CodeIn(const ctl_run& run) {
  Poco::JSON::Parser parser;
  return parser.parse(run.output)
      .extract<Poco::JSON::Object::Ptr>()
      ->getValue<int>("code");
}

// The id that a proposed change tells to witness.
std::string ProposalIn(const ctl_run& run) {
  const std::string command = "samphirectl witness ";
  CHECK(Has(run.errors, "5003 witness-needed: proposal "));
  const auto start = run.errors.find(command) + command.size();
  return run.errors.substr(start, run.errors.find('\n', start) - start);
}

std::size_t CountOf(const fake_operator_api& api, const std::string& start) {
  const auto calls = api.calls();
  return static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(),
                    [&](const auto& call) { return call.starts_with(start); }));
}

}  // namespace

TEST_CASE("help explains every command and the exit codes") {
  const auto run = RunCtl({"--help"});
  CHECK(run.code == 0);
  for (const auto* part :
       {"check FILE", "apply FILE", "status", "config show", "config history",
        "drain add", "drain remove", "drain list", "ledger show",
        "ledger resolve", "ledger unresolved", "witness ID", "lookup SERVICE",
        "Exit codes"})
    CHECK(Has(run.output, part));
}

TEST_CASE("a wrong command line ends with 2 and sends nothing") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  CHECK(RunCtl({}).code == 2);
  CHECK(RunCtl({"apply", kExample}).code == 2);
  for (const std::vector<std::string>& arguments :
       std::vector<std::vector<std::string>>{{"frobnicate"},
                                             {"config"},
                                             {"apply"},
                                             {"apply", "a", "b"},
                                             {"status", "--unknown"},
                                             {"status", "--output=xml"},
                                             {"status", "--timeout_ms=0"},
                                             {"apply", "a", "--expect=x"}}) {
    const auto run = ctl.Run(arguments);
    CHECK(run.code == 2);
    CHECK(Has(run.errors, "5012 usage"));
  }
  CHECK(api.calls().empty());
}

TEST_CASE("check needs no entry and names what is wrong") {
  const auto good = RunCtl({"check", kExample});
  CHECK(good.code == 0);
  CHECK(Has(good.output, "45 targets"));
  Poco::TemporaryFile file;
  std::ofstream(file.path()) << R"({"name":"x","default_region":"r","extra":1,
      "regions":[{"name":"r","failure_domains":["f"],"seats":1}],
      "services":[]})";
  const auto bad = RunCtl({"check", file.path()});
  CHECK(bad.code == 1);
  CHECK(Has(bad.errors, "1009 unknown-field at /extra"));
  CHECK(CodeIn(RunCtl({"check", "/nowhere", "--output=json"})) == 1001);
}

TEST_CASE("apply sends the whole file once and tells the version") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(DeadUrl() + "," + server.url());
  const auto run = ctl.Run({"apply", kExample, "--expect=40"});
  CHECK(run.code == 0);
  CHECK(Has(run.output, "accepted as version 41"));
  CHECK(CountOf(api, "apply nimal 40 {") == 1);
  const auto late = ctl.Run({"apply", kExample, "--expect=40"});
  CHECK(late.code == 1);
  CHECK(Has(late.errors, "5001 version-conflict"));
  api.RefuseNext({result_code::kUnknownRegion, "norte", "/default_region"});
  const auto refused = ctl.Run({"apply", kExample, "--output=json"});
  CHECK(refused.code == 1);
  CHECK(CodeIn(refused) == 1102);
  CHECK(Has(refused.output, "/default_region"));
}

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

TEST_CASE("a witnessed change waits for a second operator") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  api.NeedWitness();
  const auto proposed = ctl.Run({"apply", kExample});
  CHECK(proposed.code == 1);
  const auto id = ProposalIn(proposed);
  const auto own = ctl.Run({"witness", id});
  CHECK(own.code == 1);
  CHECK(Has(own.errors, "5004 witness-is-proposer"));
  const auto second = ctl.Run({"witness", id, "--operator=auditor"});
  CHECK(second.code == 0);
  CHECK(Has(second.output, "accepted as version 41"));
  CHECK(ctl.Run({"witness", "p-2"}).code == 1);
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

TEST_CASE("lookup asks at the caller port, without the token") {
  const caller_port port;
  const auto run = RunCtl(
      {"lookup", "probe-api", "127.30.2.7", "--caller_url=" + port.url()});
  CHECK(run.code == 0);
  CHECK(Has(run.output, "entry-1  127.0.1.1:8000  colombo"));
  CHECK(port.asked() == "/v1/lookup?client=127.30.2.7&service=probe-api");
  CHECK(RunCtl({"lookup", "probe-api", "--caller_url=" + DeadUrl()}).code == 1);
}

TEST_CASE("drains are added, listed and removed") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  const std::vector<std::string> add{"drain",
                                     "add",
                                     "kandy-works",
                                     "--scope=failure_domain",
                                     "--subject=kandy-a",
                                     "--starts_at=2026-12-02T22:00:00Z"};
  auto whole = add;
  whole.emplace_back("--deadline=2026-12-02T22:30:00Z");
  CHECK(ctl.Run(add).code == 1);
  CHECK(api.calls().empty());
  CHECK(ctl.Run(whole).code == 0);
  CHECK(Has(ctl.Run({"drain", "list"}).output,
            "kandy-works  failure_domain  kandy-a  2026-12-02T22:00:00Z  "
            "2026-12-02T22:30:00Z"));
  CHECK(ctl.Run({"drain", "remove", "kandy-works"}).code == 0);
  CHECK(Has(ctl.Run({"drain", "remove", "kandy-works"}).errors,
            "5006 unknown-drain"));
  CHECK(Has(ctl.Run({"drain", "list"}).output, "none"));
}

// A claim's entry died between reserving and answering. The operator looks
// whether it was paid and settles it, once and with a reason.
TEST_CASE("reservations in doubt are listed, shown and settled") {
  fake_operator_api api;
  const operator_server cut(api, operator_server::answers::kCutChanges);
  const ctl_runner ctl(cut.url());
  CHECK(Has(ctl.Run({"ledger", "unresolved"}).output, "claim/1 7"));
  const std::vector<std::string> which{"claim/1 7", "--service=claims-desk"};
  CHECK(Has(ctl.Run({"ledger", "show", which[0], which[1]}).output,
            "state: unknown"));
  // The answer is lost, and the record itself shows that it took effect.
  const auto settled = ctl.Run({"ledger", "resolve", which[0], which[1],
                                "--as=done", "--reason=credit note found"});
  CHECK(settled.code == 0);
  CHECK(Has(settled.output, "settled_by: nimal"));
  const auto twice = ctl.Run({"ledger", "resolve", which[0], which[1],
                              "--as=released", "--reason=again"});
  CHECK(twice.code == 3);
  CHECK(Has(twice.errors, "samphirectl ledger show"));
  CHECK(ctl.Run({"ledger", "show", "other", which[1]}).code == 1);
}

TEST_CASE("status, configuration and history are shown") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  const auto status = ctl.Run({"status"});
  CHECK(Has(status.output, "member entry-2 kandy live version 40"));
  CHECK(Has(status.output, "allowances"));
  CHECK(CodeIn(ctl.Run({"status", "--output=json"})) == 0);
  CHECK(Has(ctl.Run({"config", "show"}).output, "\"in-force\""));
  CHECK(Has(ctl.Run({"config", "history"}).output, "none"));
  api.AcceptOther();
  CHECK(Has(ctl.Run({"config", "history"}).output, "id-other"));
}

TEST_CASE("without any entry the command says so, and never the token") {
  const auto run = ctl_runner(DeadUrl()).Run({"apply", kExample});
  CHECK(run.code == 1);
  CHECK(Has(run.errors, "5010 entry-unreachable"));
  CHECK_FALSE(Has(run.errors + run.output, kTestToken));
}
