#include <catch2/catch.hpp>
#include <string>

#include "config/entry_settings_reader.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr const char* kSettings = R"({
  "instance": "entry-1", "region": "colombo", "failure_domain": "colombo-a",
  "caller_address": "127.0.1.1:8000", "operator_address": "127.0.1.1:0",
  "peer_address": "[::1]:8002", "platform_addresses": ["127.0.0.1:7000"],
  "seeds": ["127.0.1.2:8002"], "peer_key_file": "/run/key",
  "operator_token_file": "/run/token", "header_timeout_ms": 1500
})";

error RefusalOf(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  const auto read = ReadEntrySettings(text);
  return read.has_error() ? read.error() : error{};
}

}  // namespace

TEST_CASE("settings are read, and omitted fields get their defaults") {
  const auto read = ReadEntrySettings(kSettings).value();
  CHECK(read.instance == "entry-1");
  CHECK(read.platform_addresses == std::vector<std::string>{"127.0.0.1:7000"});
  CHECK(read.header_timeout == 1500ms);
  CHECK(read.idle_timeout == entry_settings{}.idle_timeout);
}

// Settings contain a host name instead of a numeric address, or an unknown
// field. If they were accepted, the instance would start without listening.
TEST_CASE("invalid settings are refused with a code or pointer") {
  CHECK(RefusalOf("127.0.1.1:8000", "entry:8000").pointer == "/caller_address");
  CHECK(RefusalOf("127.0.0.1:7000", "127.0.0.1:0").pointer ==
        "/platform_addresses/0");
  CHECK(RefusalOf("127.0.1.2:8002", "::1:8002").code ==
        result_code::kBadAddress);
  CHECK(RefusalOf("\"seeds\"", "\"sead\"").code == result_code::kUnknownField);
  CHECK(RefusalOf("[\"127.0.0.1:7000\"]", "[]").code ==
        result_code::kSchemaViolation);
  CHECK(RefusalOf("\"instance\": \"entry-1\", ", "").code ==
        result_code::kSchemaViolation);
}
