#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "duration_text.h"
#include "manifest_reader.h"
#include "platform_adapter/wire_text.h"
#include "settings_file.h"
#include "settings_reader.h"
#include "target_cache.h"
#include "target_reader.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

const time_point kNow{1h};
const std::map<std::string, std::string> kRegions = {{"a-1", "a"}};

result<live_target> Read(const std::string& value) {
  return ReadTarget("i-1", value, kRegions, kNow);
}

const std::string kBoundList =
    R"(["grace=7s","retryBudgetRatio=0.3","odd","unknown=1",
              "retryBudgetSlack=x"])";
const std::string kSettings = R"({"instance":"n","failure_domain":"a-1",
    "region":"a","failure_domains":{"a-1":"a"},"caller_address":"127.0.0.1:1",
    "readiness_address":"127.0.0.1:2","lookup_address":"127.0.0.1:3",
    "peer_address":"127.0.0.1:4","metrics_address":"127.0.0.1:5","seeds":[],
    "peer_key":"k","store_addresses":["127.0.0.1:6"],
    "bounds":)" + kBoundList + "}";

}  // namespace

TEST_CASE("durations have a unit") {
  CHECK(ParseDuration("1500ms") == 1500ms);
  CHECK(ParseDuration("2.5s") == 2500ms);
  CHECK_FALSE(ParseDuration("2500"));
  CHECK_FALSE(ParseDuration("-1s"));
  CHECK_FALSE(ParseDuration("1e99s"));
  CHECK_FALSE(ParseDuration("nans"));
  CHECK_FALSE(ParseDuration(""));
}

TEST_CASE("a manifest is read into routes and services") {
  const auto manifest = ReadManifest(ManifestObject("0000001f"));
  REQUIRE(manifest);
  CHECK(manifest.value()->version() == 31);
  const auto* read = manifest.value()->FindRoute("h.example", "/read/x");
  REQUIRE(read != nullptr);
  CHECK(read->idempotent);
  CHECK(read->timeout == 800ms);
  CHECK(read->latency_objective == 250ms);
  const auto* write = manifest.value()->FindRoute("h.example", "/write/x");
  REQUIRE(write != nullptr);
  CHECK_FALSE(write->idempotent);
  CHECK(write->parts.size() == 1);
  CHECK(write->home_regions == std::vector<std::string>{"a"});
  CHECK(manifest.value()->FindService("reads")->warm_up == 3s);
}

// If only the valid part of a manifest were applied, callers of the routes in
// the other part would be refused.
TEST_CASE("a manifest with an invalid part is refused as a whole") {
  const auto whole = ManifestObject("0000001f");
  CHECK_FALSE(ReadManifest(Replaced(whole, R"("0000001f")", R"("new")")));
  CHECK_FALSE(ReadManifest(Replaced(whole, R"("kind":"safe",)", "")));
  CHECK_FALSE(ReadManifest(Replaced(whole, R"("service":"reads","timeout")",
                                    R"("service":7,"timeout")")));
  CHECK_FALSE(ReadManifest("{"));
  CHECK_FALSE(ReadManifest(R"({"spec":[]})"));
}

TEST_CASE("teams are read with their API keys and home regions") {
  const auto manifest = ReadManifest(TeamManifestObject("01", true));
  REQUIRE(manifest);
  CHECK(manifest.value()->has_teams());
  const auto* team = manifest.value()->FindTeamByApiKey("key-2");
  REQUIRE(team != nullptr);
  CHECK(team->name == "team-1");
  CHECK(team->limit.rate == 50);
  CHECK(team->limit.burst == 20.5);
  CHECK_FALSE(manifest.value()->FindTeam("team-2")->limit.IsSet());
  CHECK(manifest.value()->FindTeamByApiKey("key-3")->home_regions ==
        std::vector<std::string>{"b"});
  CHECK(manifest.value()->FindTeamByApiKey("") == nullptr);
  CHECK(manifest.value()->FindTeamByApiKey("key") == nullptr);
  CHECK(manifest.value()->FindRoute("h.example", "/read/")->allows_anonymous);
  CHECK_FALSE(
      manifest.value()->FindRoute("h.example", "/write/")->allows_anonymous);
  CHECK_FALSE(ReadManifest(ManifestObject("01")).value()->has_teams());
}

// A partly loaded manifest could attribute requests to the wrong team or lock
// out all callers.
TEST_CASE(
    "a manifest with conflicting or invalid teams is refused as a whole") {
  const auto whole = TeamManifestObject("01");
  const auto code_of = [&](const std::string& what, const std::string& by) {
    const auto read = ReadManifest(Replaced(whole, what, by));
    return read ? result_code::kOk : read.error().code;
  };
  CHECK(code_of("key-3", "key-1") == result_code::kDuplicateName);
  CHECK(code_of("key-2", "key-1") == result_code::kDuplicateName);
  CHECK(code_of("team-2", "team-1") == result_code::kDuplicateName);
  for (const std::string number : {"-1", "\"50\"", "null", "true"})
    CHECK(code_of(R"("ratePerS":50)", R"("ratePerS":)" + number) ==
          result_code::kValueOutOfRange);
  CHECK(code_of("20.5", "1e999") != result_code::kOk);
  CHECK(code_of("20.5", "-0.5") == result_code::kValueOutOfRange);
  CHECK(code_of("key-3", "") == result_code::kSchemaViolation);
  CHECK(code_of(R"("key-3")", "7") == result_code::kSchemaViolation);
  CHECK(code_of("team-2", "") == result_code::kSchemaViolation);
  CHECK(code_of(R"(["key-3"])", R"("key-3")") == result_code::kSchemaViolation);
  CHECK(code_of(R"("apiKeys":["key-3"],)", "") ==
        result_code::kSchemaViolation);
  const auto rejected = ReadManifest(Replaced(whole, "key-3", "key-1"));
  CHECK(rejected.error().detail.find("key-1") == std::string::npos);
}

TEST_CASE("a route of an unknown kind is never retried") {
  const auto manifest = ReadManifest(Replaced(
      ManifestObject("01"), R"("kind":"safe")", R"("kind":"new-kind")"));
  REQUIRE(manifest);
  CHECK_FALSE(manifest.value()->FindRoute("h.example", "/read/x")->idempotent);
}

TEST_CASE("a target object is read") {
  const auto target = Read(TargetObject("10.0.0.1:80", "reads"));
  REQUIRE(target);
  CHECK(target.value().region == "a");
  CHECK(target.value().slots == 4);
  CHECK_FALSE(target.value().draining);
  CHECK(
      Read(TargetObject("10.0.0.1:80", "reads", "draining")).value().draining);
}

// Another writer or a fault may leave an object with fields that are missing or
// of another type. If it were read in part, requests would go to a target that
// does not exist.
TEST_CASE("an object with a missing or mistyped field yields no target") {
  const auto whole = TargetObject("10.0.0.1:80", "reads");
  CHECK_FALSE(Read(Replaced(whole, R"("service":"reads")", R"("service":1)")));
  CHECK_FALSE(Read(Replaced(whole, R"("slots":4)", R"("slots":"4")")));
  CHECK_FALSE(Read(Replaced(whole, R"("slots":4)", R"("slots":-4)")));
  CHECK_FALSE(Read(Replaced(whole, R"("zone":"a-1")", R"("zone":"nowhere")")));
  CHECK_FALSE(Read(Replaced(whole, "ready", "sleeping")));
  CHECK_FALSE(Read(Replaced(whole, R"("0ms")", "0")));
  CHECK_FALSE(Read(Replaced(whole, "10.0.0.1:80", "localhost:80")));
  CHECK_FALSE(Read(Replaced(whole, "10.0.0.1:80", "10.0.0.1")));
  CHECK_FALSE(Read("\xff\xfe"));
  CHECK_FALSE(Read("null"));
  CHECK_FALSE(Read(R"({"spec":{"info":null}})"));
}

TEST_CASE("the start time that a target states is kept") {
  const auto target =
      Read(Replaced(TargetObject("10.0.0.1:80", "reads"), R"("address")",
                    R"("born":1770000000000,"address")"));
  REQUIRE(target);
  CHECK(target.value().started_ms == 1770000000000);
}

TEST_CASE("settings name what is missing, and bounds replace defaults") {
  const std::string whole = kSettings;
  const auto settings = ReadSettings(whole);
  REQUIRE(settings);
  CHECK(settings.value().traffic.bounds.stop_grace == 7s);
  CHECK(settings.value().traffic.bounds.retries.ratio == Approx(0.3));
  CHECK(settings.value().traffic.bounds.retries.slack == Approx(60));
  const auto broken = ReadSettings(Replaced(whole, "region", "realm"));
  REQUIRE_FALSE(broken);
  CHECK(broken.error().pointer == "/region");
  CHECK(ReadSettings("{").error().code == result_code::kJsonSyntax);
}

// Guards against an entry that keeps all defaults, whatever the installation
// promises: the platform fills in the template with a table of bounds.
TEST_CASE("bounds given as a table are read") {
  const auto settings = ReadSettings(
      Replaced(kSettings, kBoundList,
               R"({"grace":"10s","retryBudgetRatio":0.3,"budgetWindow":"12s",)"
               R"("retryBudgetSlack":430,"ttl_max":"1500ms","odd":true,)"
               R"("stableWindow":"4000ms","quotaSlack":"x"})"));
  REQUIRE(settings);
  const auto& traffic = settings.value().traffic;
  CHECK(traffic.bounds.stop_grace == 10s);
  CHECK(traffic.bounds.retries.ratio == Approx(0.3));
  CHECK(traffic.bounds.retries.slack == Approx(430));
  CHECK(traffic.bounds.retries.window == 12s);
  CHECK(traffic.bounds.lookup_ttl == 1500ms);
  CHECK(traffic.bounds.limit_slack == Approx(0));
  CHECK(traffic.unlisting_time == 7s);
}

// Guards against an entry that does not start because of one unreadable value.
TEST_CASE("bounds of another type leave the defaults") {
  for (const std::string value : {"null", "7", R"({"grace":null})"}) {
    const auto settings = ReadSettings(Replaced(kSettings, kBoundList, value));
    REQUIRE(settings);
    CHECK(settings.value().traffic.bounds.stop_grace == 6s);
    CHECK(settings.value().traffic.unlisting_time == 6s);
  }
}

// Guards against a bound of look-ups that does not follow the settings.
TEST_CASE("the window of stable links determines when look-ups omit an entry") {
  CHECK(ReadSettings(kSettings).value().traffic.unlisting_time == 6s);
  const auto settings = ReadSettings(
      Replaced(kSettings, kBoundList, R"(["stableWindow=1500ms"])"));
  CHECK(settings.value().traffic.unlisting_time == 4500ms);
}

// Mechanisms are disabled to measure their benefit. If a misspelt name were
// ignored, the measurement would run with the mechanism enabled and yield a
// wrong figure.
TEST_CASE("placement leaves out the mechanisms that settings disable") {
  CHECK(ReadSettings(kSettings).value().traffic.disabled_mechanisms.empty());
  const auto one = Replaced(kSettings, R"("bounds")",
                            R"("placing_without": ["region-plan"], "bounds")");
  CHECK(ReadSettings(one).value().traffic.disabled_mechanisms ==
        mechanism_set{placement_mechanism::kRegionPlan});
  const auto misspelt = ReadSettings(Replaced(one, "region-plan", "region"));
  REQUIRE_FALSE(misspelt);
  CHECK(misspelt.error().code == result_code::kSchemaViolation);
  CHECK(misspelt.error().pointer == "/placing_without");
}

// Guards against an entry that uses its share of retries again after a restart.
TEST_CASE("only settings that say so are of a first start") {
  CHECK_FALSE(ReadSettings(kSettings).value().traffic.is_first_start);
  const auto first =
      Replaced(kSettings, R"("bounds")", R"("first_start": true, "bounds")");
  CHECK(ReadSettings(first).value().traffic.is_first_start);
}

TEST_CASE("a settings file reports that it was replaced") {
  const auto path = std::filesystem::temp_directory_path() /
                    ("samphire-settings-" + std::to_string(getpid()));
  std::ofstream(path) << "{";
  settings_file file(path.string());
  CHECK(file.IsReplaced());
  CHECK(file.Load().error().code == result_code::kJsonSyntax);
  CHECK_FALSE(file.IsReplaced());
  std::filesystem::last_write_time(path,
                                   std::filesystem::last_write_time(path) + 1s);
  CHECK(file.IsReplaced());
  std::filesystem::remove(path);
  CHECK_FALSE(file.IsReplaced());
}

// A target states how much longer it stays cold. The list of targets is read
// again whenever another target appears or disappears, which must not restart
// that time.
TEST_CASE("a target's cold time does not restart when other targets change") {
  metrics counters;
  target_cache cache(kRegions, counters);
  const auto cold =
      Replaced(TargetObject("10.0.0.1:80", "reads"), R"("0ms")", R"("2s")");
  object_mirror::object_map entries = {{"servers/a", cold}};
  CHECK(cache.Read(entries, kNow).at(0).cold_until == kNow + 2s);
  entries["servers/b"] = TargetObject("10.0.0.2:80", "reads");
  const auto later = cache.Read(entries, kNow + 5s);
  REQUIRE(later.size() == 2);
  CHECK(later[0].cold_until == kNow + 2s);
}

TEST_CASE("an invalid target object does not hide others") {
  metrics counters;
  target_cache cache(kRegions, counters);
  const object_mirror::object_map entries = {
      {"servers/a", "junk"}, {"servers/b", TargetObject("10.0.0.2:80", "s")}};
  CHECK(cache.Read(entries, kNow).size() == 1);
  CHECK(cache.Read(entries, kNow).size() == 1);
}
