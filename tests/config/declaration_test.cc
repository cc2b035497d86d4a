#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

#include "config/config_test_support.h"
#include "config/declaration_checker.h"
#include "config/declaration_schema.h"
#include "config/declaration_writer.h"
#include "config/settings_schema.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

struct example_size {
  std::string file;
  std::map<std::string, std::size_t> target_counts;
  std::set<std::uint32_t> slots;
  microseconds between_regions;
};

// A change that makes a declaration invalid, and the expected error.
struct invalid_declaration {
  result_code code;
  std::string pointer;
  std::function<void(declaration&)> change;
};

// A replacement that violates the schema or format, and the expected error.
struct malformed_text {
  result_code code;
  std::string pointer;
  std::string from;
  std::string to;
};

drain DrainOf(drain_scope scope, const std::string& subject) {
  return {"leave", scope, subject, kTestNow + 1h, kTestNow + 2h};
}

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("the examples have the sizes of the deployments they represent") {
  const example_size sizes[] = {
      {"nivel-claro",
       {{"painel-nivel", 20},
        {"central-alarme", 10},
        {"arquivo-sensor", 10},
        {"motor-previsao", 10}},
       {3, 4},
       20ms},
      {"consortium",
       {{"probe-api", 15},
        {"claims-desk", 10},
        {"archive-vault", 10},
        {"summary-api", 10}},
       {3},
       35ms},
  };
  for (const auto& size : sizes) {
    const auto declared = Example(size.file);
    std::map<std::string, std::size_t> target_counts;
    std::set<std::uint32_t> slots;
    std::set<std::string> failure_domains;
    for (const auto& service : declared.services) {
      target_counts[service.name] = service.targets.size();
      for (const auto& target : service.targets) {
        slots.insert(target.slots);
        failure_domains.insert(target.failure_domain);
        CHECK(target.connections == 350);
      }
    }
    CHECK(target_counts == size.target_counts);
    CHECK(slots == size.slots);
    CHECK(failure_domains.size() == 6);
    CHECK(declared.regions.size() == 3);
    CHECK(declared.shift_caps.size() == 6);
    for (const auto& latency : declared.latencies)
      CHECK(latency.one_way == size.between_regions);
  }
}

TEST_CASE("the embedded schemas equal those in docs") {
  CHECK(RepositoryText("docs/declaration.schema.json") == kDeclarationSchema);
  CHECK(RepositoryText("docs/settings.schema.json") == kSettingsSchema);
}

// A file refers to an undeclared region, caps a region towards itself, or omits
// a deadline. If it were accepted, the mistake would affect callers under load;
// instead, the operator gets a code and a pointer.
TEST_CASE("each invalid declaration is refused with its code and pointer") {
  using enum result_code;
  const invalid_declaration cases[] = {
      {kDuplicateName, "/regions/1/name",
       [](auto& d) { d.regions[1].name = "sul-poa"; }},
      {kDuplicateName, "/regions/1/failure_domains/0",
       [](auto& d) { d.regions[1].failure_domains[0] = "sul-poa-a"; }},
      {kDuplicateName, "/services/1/name",
       [](auto& d) { d.services[1].name = "painel-nivel"; }},
      {kDuplicateName, "/services/0/classes/1/name",
       [](auto& d) { d.services[0].classes[1].name = "level"; }},
      {kDuplicateName, "/services/0/targets/1/name",
       [](auto& d) { d.services[0].targets[1].name = "w01"; }},
      {kDuplicateName, "/services/0/targets/1/address",
       [](auto& d) { d.services[0].targets[1].address = "127.21.1.1:9000"; }},
      {kDuplicateName, "/latencies/1",
       [](auto& d) {
         d.latencies[1] = {d.latencies[0].to, d.latencies[0].from, 1us};
       }},
      {kDuplicateName, "/shift_caps/1",
       [](auto& d) { d.shift_caps[1] = d.shift_caps[0]; }},
      {kUnknownRegion, "/default_region",
       [](auto& d) { d.default_region = "norte"; }},
      {kUnknownRegion, "/latencies/0/to",
       [](auto& d) { d.latencies[0].to = "norte"; }},
      {kUnknownRegion, "/client_blocks/2/region",
       [](auto& d) { d.client_blocks[2].region = "norte"; }},
      {kUnknownRegion, "/shift_caps/0/from",
       [](auto& d) { d.shift_caps[0].from = "norte"; }},
      {kUnknownFailureDomain, "/services/2/targets/3/failure_domain",
       [](auto& d) { d.services[2].targets[3].failure_domain = "x"; }},
      {kOverlappingClientBlocks, "/client_blocks/2/block",
       [](auto& d) {
         d.client_blocks[2].address = d.client_blocks[0].address;
       }},
      {kMissingDeadline, "/services/0/classes/0",
       [](auto& d) { d.services[0].classes[0].deadline = 0ms; }},
      {kValueOutOfRange, "/services/0/classes/0/max_deadline_ms",
       [](auto& d) { d.services[0].classes[0].max_deadline = 1ms; }},
      {kSchemaViolation, "/services/0/classes/0/path",
       [](auto& d) { d.services[0].classes[0].path = "/a/**/b"; }},
      {kAmbiguousClass, "/services/0/classes/1/path",
       [](auto& d) {
         d.services[0].classes[1].path = d.services[0].classes[0].path;
       }},
      {kServiceWithoutTargets, "/services/3/targets",
       [](auto& d) { d.services[3].targets.clear(); }},
      {kBadAddress, "/services/0/targets/0/address",
       [](auto& d) { d.services[0].targets[0].address = "127.1:9000"; }},
      {kBadAddress, "/services/0/targets/0/address",
       [](auto& d) { d.services[0].targets[0].address = "host:9000"; }},
      {kBadAddress, "/services/0/targets/0/address",
       [](auto& d) { d.services[0].targets[0].address = "127.0.0.1:65536"; }},
      {kShiftCapToItself, "/shift_caps/0/to",
       [](auto& d) { d.shift_caps[0].to = d.shift_caps[0].from; }},
      {kValueOutOfRange, "/shift_caps/0/initial",
       [](auto& d) {
         d.shift_caps[0].initial = d.shift_caps[0].max_in_flight + 1;
       }},
      {kUnknownTarget, "/drains/0/subject",
       [](auto& d) {
         d.drains = {DrainOf(drain_scope::kTarget, "painel-nivel/w99")};
       }},
      {kUnknownFailureDomain, "/drains/0/subject",
       [](auto& d) {
         d.drains = {DrainOf(drain_scope::kFailureDomain, "sul-poa")};
       }},
      {kUnknownRegion, "/drains/0/subject",
       [](auto& d) {
         d.drains = {DrainOf(drain_scope::kRegion, "sul-poa-a")};
       }},
      {kDrainWithoutTime, "/drains/0/deadline",
       [](auto& d) {
         d.drains = {DrainOf(drain_scope::kRegion, "sul-poa")};
         d.drains[0].deadline = d.drains[0].starts_at;
       }},
      {kDuplicateName, "/drains/1/name",
       [](auto& d) {
         d.drains.assign(2, DrainOf(drain_scope::kRegion, "sul-poa"));
       }},
  };
  for (const auto& one : cases) {
    auto declared = Example("nivel-claro");
    one.change(declared);
    const auto checked = CheckDeclaration(declared);
    INFO(NameOf(one.code) << " " << one.pointer);
    REQUIRE(checked.has_error());
    CHECK(NameOf(checked.error().code) == NameOf(one.code));
    CHECK(checked.error().pointer == one.pointer);
  }
}

// A field name is misspelt, such as "repeatble". If it were ignored, an
// acknowledgement would be retried and run twice.
TEST_CASE("each malformed text is refused with its code and pointer") {
  using enum result_code;
  const malformed_text cases[] = {
      {kUnknownField, "/services/0/classes/0/repeatble", "\"repeatable\": true",
       "\"repeatable\": true, \"repeatble\": true"},
      {kUnknownField, "/it's ~1 odd", "\"name\"",
       "\"it's / odd\": 1, \"name\""},
      {kSchemaViolation, "/services/0/classes/0", "\"repeatable\": true, ", ""},
      {kSchemaViolation, "/services/0/classes/0/repeatable",
       "\"repeatable\": true", "\"repeatable\": \"true\""},
      {kSchemaViolation, "/services/0/classes/0/priority",
       "\"priority\": \"high\"", "\"priority\": \"urgent\""},
      {kSchemaViolation, "/services/0/classes/0/method", "\"GET\"", "\"get\""},
      {kSchemaViolation, "/regions/0/seats", "\"seats\": 4", "\"seats\": 4.5"},
      {kSchemaViolation, "/shift_caps/0/ramp_per_s", "\"ramp_per_s\": 2",
       "\"ramp_per_s\": true"},
      {kSchemaViolation, "/name", "\"nivel-claro\"", "\"N\xc3\xadvel\""},
      {kValueOutOfRange, "/regions/0/seats", "\"seats\": 4", "\"seats\": 0"},
      {kValueOutOfRange, "/regions/0/seats", "\"seats\": 4", "\"seats\": -1"},
      {kValueOutOfRange, "/services/0/targets/0/slots", "\"slots\": 3",
       "\"slots\": 4294967297"},
      {kMissingDeadline, "/services/0/classes/0", "\"deadline_ms\": 1000, ",
       ""},
      {kBadClientBlock, "/client_blocks/0/block", "127.20.1.0/24",
       "127.20.1.7/24"},
      {kBadClientBlock, "/client_blocks/0/block", "127.20.1.0/24",
       "127.20.1.0/33"},
      {kBadClientBlock, "/client_blocks/0/block", "127.20.1.0/24",
       "127.20.1.0"},
      {kDrainWithoutTime, "/drains/0", "\"drains\": []",
       "\"drains\": [{\"name\": \"d\", \"scope\": \"region\", \"subject\": "
       "\"sul-poa\", \"starts_at\": \"2026-12-02T09:00:00Z\"}]"},
      {kSchemaViolation, "/drains/0/starts_at", "\"drains\": []",
       "\"drains\": [{\"name\": \"d\", \"scope\": \"region\", \"subject\": "
       "\"sul-poa\", \"starts_at\": \"2026-12-02 09:00\"}]"},
  };
  for (const auto& one : cases) {
    const auto text = Replaced(ExampleText("nivel-claro"), one.from, one.to);
    const auto read = ReadDeclaration(text, kTestNow);
    INFO(NameOf(one.code) << " " << one.pointer);
    REQUIRE(read.has_error());
    INFO(read.error().detail);
    CHECK(NameOf(read.error().code) == NameOf(one.code));
    CHECK(read.error().pointer == one.pointer);
  }
}

// Long arrays are validated in slices. An error near the end of a long array
// must be reported with its index in the whole array, and an array that is too
// long must be refused.
TEST_CASE("an error in a long array is reported with its own index") {
  auto declared = Example("consortium");
  for (std::uint8_t i = 0; i < 250; ++i) {
    for (const std::uint8_t j : {1, 2, 3}) {
      client_block block{{0x20, i, j}, 24, "kandy"};
      declared.client_blocks.push_back(block);
    }
  }
  const auto text = WriteDeclaration(declared);
  CHECK(ReadDeclaration(text, kTestNow).has_value());
  const auto last = text.rfind("kandy", text.find("services"));
  const auto faulty = Replaced(text.substr(last - 1), "\"kandy\"", "7");
  const auto read =
      ReadDeclaration(text.substr(0, last - 1) + faulty, kTestNow);
  REQUIRE(read.has_error());
  CHECK(read.error().pointer == "/client_blocks/752/region");
  std::string many = "\"regions\":[";
  for (int i = 0; i < 300; ++i)
    many += R"({"name":"r","failure_domains":["f"],"seats":1},)";
  many.back() = ']';
  const auto long_text = R"({"name":"n","default_region":"r","services":[],)";
  const auto too_many = ReadDeclaration(long_text + many + "}", kTestNow);
  REQUIRE(too_many.has_error());
  CHECK(too_many.error().code == result_code::kSchemaViolation);
  CHECK(too_many.error().pointer == "/regions");
}

// The operator applies last month's file, in which a drain has expired: the
// drain would take effect immediately and cut all affected work. But a drain
// accepted before its deadline must stay readable afterwards, or an entry
// started a minute later would have no configuration.
TEST_CASE("an expired drain is refused when new and kept when active") {
  auto declared = Example("consortium");
  declared.drains = {
      {"works", drain_scope::kRegion, "kandy", kTestNow - 2h, kTestNow - 1h}};
  const auto text = WriteDeclaration(declared);
  const auto refused = ReadDeclaration(text, kTestNow);
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == result_code::kDrainInPast);
  CHECK(refused.error().pointer == "/drains/0/deadline");
  CHECK(ReadDeclaration(text, kTestNow, &declared).has_value());
  CHECK(ReadAcceptedDeclaration(text).value() == declared);
}

TEST_CASE("a single drain is read without a declaration") {
  const drain declared{"works", drain_scope::kTarget, "claims-desk/w01",
                       kTestNow, kTestNow + 1500ms};
  CHECK(ReadDrain(WriteDrain(declared)).value() == declared);
  const auto refused = ReadDrain("{\"name\":\"works\",\"when\":1}");
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == result_code::kUnknownField);
  CHECK(ReadDrain("[]").error().code == result_code::kSchemaViolation);
}
