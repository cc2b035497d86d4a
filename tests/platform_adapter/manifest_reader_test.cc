#include "manifest_reader.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "base/thread_processor_time.h"
#include "platform_adapter/wire_text.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

std::string RuleText(const std::string& prefix, int timeout_ms) {
  return R"({"name":"r)" + prefix +
         R"(","kind":"safe","match":{"pathPrefix":"/)" + prefix +
         R"(/"},"action":{"service":"s","timeout":")" +
         std::to_string(timeout_ms) + R"(ms"}})";
}

// A manifest that a test changes: time-outs by prefix, in order, by host.
struct edited_manifest {
  using rules = std::vector<std::pair<std::string, int>>;
  std::vector<std::pair<std::string, rules>> hosts;
  int version = 1;

  std::string Text() const {
    std::string listeners;
    for (const auto& [host, rules] : hosts) {
      std::string list;
      for (const auto& [prefix, timeout] : rules)
        list += (list.empty() ? "" : ",") + RuleText(prefix, timeout);
      listeners += listeners.empty() ? "" : ",";
      listeners += R"({"host":")";
      listeners.append(host).append(R"(","rules":[)").append(list).append("]}");
    }
    return R"({"spec":{"listeners":[)" + listeners + R"(],"version":")" +
           std::to_string(version) + R"("},"status":null})";
  }

  void EditOnce(std::mt19937& random) {
    ++version;
    const auto number = [&](std::size_t below) { return random() % below; };
    if (hosts.empty() || number(8) == 0) {
      const auto at = static_cast<std::ptrdiff_t>(number(hosts.size() + 1));
      hosts.insert(hosts.begin() + at, {"h" + std::to_string(number(40)), {}});
      return;
    }
    auto& rules = hosts[number(hosts.size())].second;
    const auto at = static_cast<std::ptrdiff_t>(number(rules.size() + 1));
    switch (number(6)) {
      case 0:
        hosts.erase(hosts.begin() +
                    static_cast<std::ptrdiff_t>(number(hosts.size())));
        break;
      case 1:
        std::shuffle(rules.begin(), rules.end(), random);
        break;
      case 2:
        if (!rules.empty())
          rules.erase(rules.begin() + at % std::ssize(rules));
        break;
      default:
        rules.insert(rules.begin() + at, {"p" + std::to_string(number(30)),
                                          static_cast<int>(number(900)) + 1});
    }
  }
};

// Whether both versions have the same routes with the same time-outs.
bool SameRoutes(const traffic_manifest& a, const traffic_manifest& b) {
  for (int host = 0; host < 40; ++host) {
    for (int prefix = 0; prefix < 30; ++prefix) {
      const auto host_name = "h" + std::to_string(host);
      const auto path = "/p" + std::to_string(prefix) + "/";
      const auto* of_a = a.FindRoute(host_name, path);
      const auto* of_b = b.FindRoute(host_name, path);
      if ((of_a == nullptr) != (of_b == nullptr))
        return false;
      if (of_a != nullptr && of_a->timeout != of_b->timeout)
        return false;
    }
  }
  return a.routes().size() == b.routes().size();
}

std::chrono::nanoseconds TimeToRead(manifest_reader& reader,
                                    const std::string& text) {
  const auto start = ThreadProcessorTime();
  const bool read = reader.Read(text).has_value();
  const auto time = ThreadProcessorTime() - start;
  REQUIRE(read);
  return time;
}

}  // namespace

// Guards against a version that is put together wrongly from the one before:
// callers would be sent by routes that the operator has replaced.
TEST_CASE("a version read by its changes is the version read as a whole") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    edited_manifest manifest;
    manifest_reader reader;
    for (int version = 0; version < 60; ++version) {
      for (unsigned edits = 0; edits <= random() % 8; ++edits)
        manifest.EditOnce(random);
      const auto changed = reader.Read(manifest.Text());
      const auto whole = ReadManifest(manifest.Text());
      REQUIRE(changed);
      REQUIRE(whole);
      CAPTURE(seed, version);
      REQUIRE(SameRoutes(*changed.value(), *whole.value()));
    }
  }
}

// Guards against versions whose cost grows with the routes there are: an entry
// with a tenth of a core would be busy with a small change for as long as with
// the largest, and callers and the next version would wait.
TEST_CASE("reading a version costs what changed, not what there is") {
  for (const bool one_host : {false, true}) {
    crowded_manifest content{
        .version = 1, .routes = 4100, .one_host = one_host};
    manifest_reader reader;
    const auto all = TimeToRead(reader, CrowdedManifestObject(content));
    CHECK(reader.parsed_routes() == 4100);
    std::vector<std::chrono::nanoseconds> times;
    for (std::size_t changed = 1; changed <= 5; ++changed) {
      ++content.version;
      content.changed_routes = changed;
      times.push_back(TimeToRead(reader, CrowdedManifestObject(content)));
      CHECK(reader.parsed_routes() == 1);
    }
    std::ranges::sort(times);
    CAPTURE(one_host, all.count(), times[2].count());
    CHECK(times[2] * 4 < all);
  }
}

TEST_CASE("routes added to many others are the only ones that are read") {
  crowded_manifest content{.version = 1, .routes = 300};
  manifest_reader reader;
  REQUIRE(reader.Read(CrowdedManifestObject(content)));
  content.version = 2;
  content.routes = 1700;
  const auto more = reader.Read(CrowdedManifestObject(content));
  REQUIRE(more);
  CHECK(reader.parsed_routes() == 1400);
  CHECK(more.value()->routes().size() == 1700);
  CHECK(more.value()->FindRoute("h1699.example", "/r1699/") != nullptr);
  content.version = 3;
  content.routes = 100;
  const auto fewer = reader.Read(CrowdedManifestObject(content));
  REQUIRE(fewer);
  CHECK(reader.parsed_routes() == 0);
  CHECK(fewer.value()->FindRoute("h99.example", "/r99/") != nullptr);
  CHECK(fewer.value()->FindRoute("h100.example", "/r100/") == nullptr);
}

// Guards against a refused version that spoils what the next one is compared
// with.
TEST_CASE("a refused version has its number and the next one is read") {
  edited_manifest manifest;
  manifest.hosts = {{"h1", {{"p1", 100}, {"p2", 200}}}, {"h2", {{"p3", 300}}}};
  manifest_reader reader;
  REQUIRE(reader.Read(manifest.Text()));
  const auto valid = manifest.Text();
  for (const auto& broken :
       {Replaced(valid, R"("kind":"safe",)", ""),
        Replaced(valid, R"("service":"s")", R"("weightedBackends":[{}])"),
        Replaced(valid, R"("host":"h2")", R"("host":7)"),
        Replaced(valid, R"("rules")", R"("rule")"), valid + "x",
        valid.substr(0, valid.size() / 2), std::string()}) {
    const auto refused = reader.Read(broken);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().code == result_code::kSchemaViolation);
  }
  manifest.hosts[0].second[1].second = 250;
  ++manifest.version;
  const auto next = reader.Read(manifest.Text());
  REQUIRE(next);
  CHECK(reader.parsed_routes() == 1);
  CHECK(next.value()->FindRoute("h1", "/p2/")->timeout == 250ms);
  CHECK(next.value()->FindRoute("h2", "/p3/")->timeout == 300ms);
}

TEST_CASE("rules that stand before their host are read") {
  const auto text = R"({"spec":{"version":"0a","listeners":[{"rules":[)" +
                    RuleText("p", 5) + R"(],"host":"h\u0031"}]}})";
  const auto manifest = ReadManifest(text);
  REQUIRE(manifest);
  CHECK(manifest.value()->version() == 10);
  CHECK(manifest.value()->FindRoute("h1", "/p/") != nullptr);
}
