#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "ctl/ctl_test_support.h"
#include "ctl/fake_caller_server.h"

using namespace samphire;

TEST_CASE("help explains every command and the exit codes") {
  const auto run = RunCtl({"--help"});
  CHECK(run.code == 0);
  for (const auto* part :
       {"check FILE", "apply FILE", "status", "config show", "config history",
        "drain add", "drain remove", "drain list", "ledger show",
        "ledger resolve", "ledger unresolved", "witness ID", "lookup SERVICE",
        "Exit codes"})
    CHECK(Contains(run.output, part));
}

TEST_CASE("a wrong command line exits with 2 and sends nothing") {
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
    CHECK(Contains(run.errors, "5012 usage"));
  }
  CHECK(api.calls().empty());
}

TEST_CASE("check works without an entry and locates the error") {
  const auto good = RunCtl({"check", kExample});
  CHECK(good.code == 0);
  CHECK(Contains(good.output, "45 targets"));
  Poco::TemporaryFile file;
  std::ofstream(file.path()) << R"({"name":"x","default_region":"r","extra":1,
      "regions":[{"name":"r","failure_domains":["f"],"seats":1}],
      "services":[]})";
  const auto bad = RunCtl({"check", file.path()});
  CHECK(bad.code == 1);
  CHECK(Contains(bad.errors, "1009 unknown-field at /extra"));
  CHECK(ResultCodeIn(RunCtl({"check", "/nowhere", "--output=json"})) == 1001);
}

TEST_CASE("apply sends the complete file once and prints the version") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(UnreachableUrl() + "," + server.url());
  const auto run = ctl.Run({"apply", kExample, "--expect=40"});
  CHECK(run.code == 0);
  CHECK(Contains(run.output, "accepted as version 41"));
  CHECK(CountCalls(api, "apply nimal 40 {") == 1);
  const auto late = ctl.Run({"apply", kExample, "--expect=40"});
  CHECK(late.code == 1);
  CHECK(Contains(late.errors, "5001 version-conflict"));
  api.RefuseNext({result_code::kUnknownRegion, "norte", "/default_region"});
  const auto refused = ctl.Run({"apply", kExample, "--output=json"});
  CHECK(refused.code == 1);
  CHECK(ResultCodeIn(refused) == 1102);
  CHECK(Contains(refused.output, "/default_region"));
}

TEST_CASE("a change that needs a witness awaits a second operator") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  api.RequireWitness();
  const auto proposed = ctl.Run({"apply", kExample});
  CHECK(proposed.code == 1);
  const auto id = ProposalIdIn(proposed);
  const auto own = ctl.Run({"witness", id});
  CHECK(own.code == 1);
  CHECK(Contains(own.errors, "5004 witness-is-proposer"));
  const auto second = ctl.Run({"witness", id, "--operator=auditor"});
  CHECK(second.code == 0);
  CHECK(Contains(second.output, "accepted as version 41"));
  CHECK(ctl.Run({"witness", "p-2"}).code == 1);
}

TEST_CASE("lookup calls the caller port without the token") {
  const fake_caller_server port;
  const auto run = RunCtl(
      {"lookup", "probe-api", "127.30.2.7", "--caller_url=" + port.url()});
  CHECK(run.code == 0);
  CHECK(Contains(run.output, "entry-1  127.0.1.1:8000  colombo"));
  CHECK(port.last_request() ==
        "/v1/lookup?client=127.30.2.7&service=probe-api");
  CHECK(RunCtl({"lookup", "probe-api", "--caller_url=" + UnreachableUrl()})
            .code == 1);
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
  CHECK(Contains(ctl.Run({"drain", "list"}).output,
                 "kandy-works  failure_domain  kandy-a  2026-12-02T22:00:00Z  "
                 "2026-12-02T22:30:00Z"));
  CHECK(ctl.Run({"drain", "remove", "kandy-works"}).code == 0);
  CHECK(Contains(ctl.Run({"drain", "remove", "kandy-works"}).errors,
                 "5006 unknown-drain"));
  CHECK(Contains(ctl.Run({"drain", "list"}).output, "none"));
}

// An entry failed between making a reservation and responding. The operator
// finds out whether the claim was paid and resolves the reservation, once and
// with a reason.
TEST_CASE("reservations of unknown outcome are listed, shown and resolved") {
  fake_operator_api api;
  const operator_server cut(
      api, operator_server::response_mode::kDropChangeResponses);
  const ctl_runner ctl(cut.url());
  CHECK(Contains(ctl.Run({"ledger", "unresolved"}).output, "claim/1 7"));
  const std::vector<std::string> which{"claim/1 7", "--service=claims-desk"};
  CHECK(Contains(ctl.Run({"ledger", "show", which[0], which[1]}).output,
                 "state: unknown"));
  // The response is lost, and the record itself shows that the call took
  // effect.
  const auto settled = ctl.Run({"ledger", "resolve", which[0], which[1],
                                "--as=done", "--reason=credit note found"});
  CHECK(settled.code == 0);
  CHECK(Contains(settled.output, "settled_by: nimal"));
  const auto twice = ctl.Run({"ledger", "resolve", which[0], which[1],
                              "--as=released", "--reason=again"});
  CHECK(twice.code == 3);
  CHECK(Contains(twice.errors, "samphirectl ledger show"));
  CHECK(ctl.Run({"ledger", "show", "other", which[1]}).code == 1);
}

TEST_CASE("status, configuration and history are shown") {
  fake_operator_api api;
  const operator_server server(api);
  const ctl_runner ctl(server.url());
  const auto status = ctl.Run({"status"});
  CHECK(Contains(status.output, "member entry-2 kandy live version 40"));
  CHECK(Contains(status.output, "allowances"));
  CHECK(ResultCodeIn(ctl.Run({"status", "--output=json"})) == 0);
  CHECK(Contains(ctl.Run({"config", "show"}).output, "\"in-force\""));
  CHECK(Contains(ctl.Run({"config", "history"}).output, "none"));
  api.AcceptConcurrentChange();
  CHECK(Contains(ctl.Run({"config", "history"}).output, "id-other"));
}

TEST_CASE("an unreachable entry is reported without printing the token") {
  const auto run = ctl_runner(UnreachableUrl()).Run({"apply", kExample});
  CHECK(run.code == 1);
  CHECK(Contains(run.errors, "5010 entry-unreachable"));
  CHECK_FALSE(Contains(run.errors + run.output, kTestToken));
}
