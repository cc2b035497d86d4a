#include "fleet.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "base/log.h"
#include "config/declaration_writer.h"
#include "history/history_codec.h"
#include "history/history_reader.h"
#include "support/wait_until.h"

namespace samphire {

namespace {

constexpr std::string_view kToken = "test-operator-token";
constexpr std::string_view kPeerKey = "test-peer-key-of-32-bytes-length";

std::string MakeDirectory() {
  std::string name = "/tmp/samphire-test-XXXXXX";
  if (mkdtemp(name.data()) == nullptr)
    throw std::runtime_error("mkdtemp failed for the test directory");
  return name;
}

// Returns the settings file of an entry.
std::string SettingsJson(const fleet_plan& plan,
                         std::size_t entry,
                         const std::string& directory) {
  const auto& settings = plan.entries[entry];
  const auto& platform = entry < plan.entry_platform_addresses.size()
                             ? plan.entry_platform_addresses[entry]
                             : plan.platform_address;
  std::string seeds;
  for (const auto& other : plan.entries) {
    if (other.instance != settings.instance)
      seeds += (seeds.empty() ? "" : ",") + JsonQuote(other.peer_address);
  }
  return fmt::format(
      R"({{"instance":"{}","region":"{}","failure_domain":"{}",)"
      R"("caller_address":"{}","operator_address":"{}","peer_address":"{}",)"
      R"("platform_addresses":["{}"],"seeds":[{}],)"
      R"("peer_key_file":"{}/peer.key","operator_token_file":"{}/token"}})",
      settings.instance, settings.region, settings.failure_domain,
      settings.caller_address, settings.operator_address, settings.peer_address,
      platform, seeds, directory, directory);
}

}  // namespace

fleet::fleet(fleet_plan plan)
    : plan_(std::move(plan)), directory_(MakeDirectory()) {
  test_events_ = history_writer::Open(File("notes.jsonl")).value();
  Write("token", std::string(kToken));
  Write("peer.key", std::string(kPeerKey));
  Write("declaration.json", WriteDeclaration(plan_.declaration));
  platform_ = std::make_unique<child_process>(
      "samphire-platform",
      std::vector<std::string>{"--listen=" + plan_.platform_address},
      File("platform.log"));
  platform_->ReadLine();
  StartTargets("east");
  StartTargets("west");
  entries_.resize(plan_.entries.size());
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    Write(plan_.entries[i].instance + ".json",
          SettingsJson(plan_, i, directory_));
    SetInstanceState(i, "live");
  }
  for (std::size_t i = 0; i < entries_.size(); ++i)
    StartEntry(i);
  // Retries, as an operator would, until the first entry listens.
  if (!WaitUntil(
          [&] { return Apply(0, plan_.declaration, "first").status == 200; }))
    throw std::runtime_error(
        "the first entry did not accept the declaration; logs are in " +
        directory_);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (!WaitUntil([&] { return Ready(i) && CanServeRequest(i); }))
      throw std::runtime_error("an entry did not become ready; logs are in " +
                               directory_);
  }
}

fleet::~fleet() {
  entries_.clear();
  targets_.clear();
  platform_.reset();
  // The files are kept for debugging if this environment variable is set.
  const char* keep = std::getenv("SAMPHIRE_KEEP_TEST_FILES");
  if (keep == nullptr || *keep == '\0')
    std::filesystem::remove_all(directory_);
}

child_process& fleet::targets(const std::string& region) {
  return *targets_[region == "east" ? 0 : 1];
}

void fleet::StartTargets(const std::string& region) {
  targets_.push_back(std::make_unique<child_process>(
      "samphire-target",
      std::vector<std::string>{"--declaration=" + File("declaration.json"),
                               "--region=" + region, "--service_ms=5",
                               "--history=" + File(region + ".jsonl")},
      File(region + "-targets.log")));
  targets_.back()->ReadLine();
}

void fleet::StartEntry(std::size_t i) {
  const auto& name = plan_.entries[i].instance;
  entries_[i].reset();
  entries_[i] = std::make_unique<child_process>(
      "samphire-entry",
      std::vector<std::string>{"--settings=" + File(name + ".json")},
      File(name + ".log"), child_output::kLog);
}

void fleet::SetInstanceState(std::size_t i, const std::string& state) {
  const auto& settings = plan_.entries[i];
  const auto path = "/v1/instances/" + settings.instance;
  if (state == "gone") {
    Call({.method = "DELETE", .address = plan_.platform_address, .path = path});
    return;
  }
  Call({.method = "PUT",
        .address = plan_.platform_address,
        .path = path,
        .body = fmt::format(
            R"({{"name":"{}","role":"entry","address":"{}","region":"{}",)"
            R"("failure_domain":"{}","state":"{}"}})",
            settings.instance, settings.caller_address, settings.region,
            settings.failure_domain, state)});
}

void fleet::SetFaults(const std::string& faults) {
  Call({.method = "POST",
        .address = plan_.platform_address,
        .path = "/v1/faults",
        .body = faults});
}

http_reply fleet::CallOperatorApi(std::size_t i,
                                  const std::string& method,
                                  const std::string& path,
                                  const std::string& body) {
  return Call(
      {.method = method,
       .address = plan_.entries[i].operator_address,
       .path = path,
       .body = body,
       .headers = {{"Authorization", fmt::format("Bearer {}", kToken)}}});
}

http_reply fleet::Apply(std::size_t i,
                        const declaration& wanted,
                        const std::string& apply_id,
                        const std::string& extra_query) {
  return CallOperatorApi(
      i, "POST",
      fmt::format("/v1/config/apply?apply_id={}&operator=test{}", apply_id,
                  extra_query),
      WriteDeclaration(wanted));
}

std::int64_t fleet::ConfigVersion(std::size_t i) const {
  const auto reply = Call({.address = plan_.entries[i].caller_address,
                           .path = "/v1/lookup?service=s"});
  constexpr std::string_view kField = "\"config_version\":";
  const auto at = reply.body.find(kField);
  return at == std::string::npos
             ? -1
             : std::atoll(reply.body.c_str() + at + kField.size());
}

bool fleet::Ready(std::size_t i) const {
  return Call({.address = plan_.entries[i].caller_address, .path = "/readyz"})
             .status == 200;
}

bool fleet::CanServeRequest(std::size_t i) const {
  return Call({.address = plan_.entries[i].caller_address,
               .path = "/v1/services/s/levels/first",
               .headers = {{"Request-Id", "first"}}})
             .status == 200;
}

std::unique_ptr<child_process> fleet::StartLoad(const std::string& scenario) {
  Write("scenario.json", scenario);
  std::string known;
  for (std::size_t i = 0; i < plan_.entries.size();
       i += plan_.entries.size() / 2)
    known += (known.empty() ? "" : ",") + plan_.entries[i].caller_address;
  return std::make_unique<child_process>(
      "samphire-load",
      std::vector<std::string>{"--scenario=" + File("scenario.json"),
                               "--entries=" + known, "--threads=64",
                               "--history=" + File("load.jsonl")},
      File("load.log"));
}

void fleet::RecordEvent(const history_event& event) {
  test_events_->Write(event);
}

std::vector<history_event> fleet::History() const {
  std::vector<std::string> paths;
  for (const auto* name :
       {"notes.jsonl", "east.jsonl", "west.jsonl", "load.jsonl"}) {
    if (std::filesystem::exists(File(name)))
      paths.push_back(File(name));
  }
  auto events = ReadHistories(paths).value();
  for (const auto& cap : plan_.declaration.shift_caps)
    events.emplace_back(cap_declared{
        .from = cap.from, .to = cap.to, .max_in_flight = cap.max_in_flight});
  return events;
}

std::size_t fleet::CountResponses(answer_body body) const {
  std::ifstream file(File("load.jsonl"));
  const auto wanted =
      fmt::format(R"("body":"{}")", NameOf(kAnswerBodyNames, body));
  std::size_t count = 0;
  for (std::string line; std::getline(file, line);)
    count += line.find(wanted) == std::string::npos ? 0 : 1;
  return count;
}

bool fleet::WaitForCompleteResponses(std::size_t additional) const {
  const auto before = CountResponses(answer_body::kComplete);
  return WaitUntil([&] {
    return CountResponses(answer_body::kComplete) >= before + additional;
  });
}

std::string fleet::File(const std::string& name) const {
  return directory_ + "/" + name;
}

void fleet::Write(const std::string& name, const std::string& text) const {
  std::ofstream(File(name)) << text;
}

void CheckNoViolations(const std::vector<history_event>& history,
                       const std::vector<std::string>& excluded_rules) {
  const history_limits limits{.leaving_limit = std::chrono::seconds(5),
                              .config_limit = std::chrono::seconds(20),
                              .refusal_limit = std::chrono::seconds(5)};
  std::string findings;
  for (const auto& verdict : JudgeHistory(history, limits)) {
    if (std::find(excluded_rules.begin(), excluded_rules.end(), verdict.rule) !=
        excluded_rules.end())
      continue;
    for (const auto& finding : verdict.findings) {
      findings += verdict.rule + ": " + finding.message + "\n";
      for (const auto& event : finding.events)
        findings += "  " + EncodeEvent(event) + "\n";
    }
  }
  INFO(findings);
  CHECK(findings.empty());
}

bool RuleApplied(const std::vector<history_event>& history,
                 const std::string& rule) {
  for (const auto& verdict : JudgeHistory(history, {})) {
    if (verdict.rule == rule)
      return verdict.judged > 0;
  }
  return false;
}

}  // namespace samphire
