#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "config/class_matcher.h"
#include "config/client_block_text.h"
#include "config/config_test_support.h"
#include "config/declaration_writer.h"
#include "config/entry_settings_reader.h"
#include "config/ip_address.h"

using namespace samphire;

namespace {

std::string GeneratedName(const char* kind, std::size_t number) {
  return std::string(kind) + std::to_string(number);
}

// Returns an example declaration with fields set to random valid values.
declaration GeneratedDeclaration() {
  auto made =
      Example(*rc::gen::element<std::string>("nivel-claro", "consortium"));
  const auto count = *rc::gen::inRange<std::size_t>(0, 5);
  for (std::size_t i = 0; i < count; ++i) {
    client_block block;
    block.address[0] = 0x20;
    block.address[1] = static_cast<std::uint8_t>(i);
    block.prefix_length = static_cast<std::uint8_t>(*rc::gen::inRange(16, 129));
    block.region = made.default_region;
    made.client_blocks.push_back(block);
    const auto start = kTestNow + milliseconds(*rc::gen::inRange(1, 100'000));
    made.drains.push_back({GeneratedName("drain", i), drain_scope::kRegion,
                           made.regions[i % 3].name, start,
                           start + milliseconds(*rc::gen::inRange(1, 9999))});
  }
  for (auto& cap : made.shift_caps) {
    cap.max_in_flight = *rc::gen::inRange(0U, 1'000'000U);
    cap.initial = *rc::gen::inRange(0U, cap.max_in_flight + 1);
    cap.ramp_per_s = *rc::gen::inRange(0, 1'000'000) / 997.0;
  }
  for (auto& one : made.services.front().classes) {
    one.repeatable = *rc::gen::arbitrary<bool>();
    one.witnessed = *rc::gen::arbitrary<bool>();
    one.priority = *rc::gen::element(priority::kLow, priority::kHigh);
    one.kind =
        *rc::gen::element(request_kind::kBulk, request_kind::kInteractive);
    one.deadline = milliseconds(*rc::gen::inRange(1, 1'000'000));
    one.max_deadline = one.deadline + milliseconds(*rc::gen::inRange(0, 1000));
  }
  made.limits.max_body_bytes = *rc::gen::inRange(0, 1 << 26);
  made.limits.ledger_retention =
      milliseconds(*rc::gen::inRange(1000, 604'800'000));
  return made;
}

// Applies a few random deletions, insertions, copies and byte changes.
std::string Mutated(std::string text) {
  static const std::vector<std::string> pieces{
      "{",    "}",     "[",  "]",  "\"",   ",",       ":", "null", "1e999",
      "\xff", "\\u00", "-1", "\n", "true", "\"\":{}", "/", "*",    "0.5"};
  const auto count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < count && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 40);
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, *rc::gen::elementOf(pieces));
        break;
      case 2:
        text.insert(at, text.substr(at / 2, length));
        break;
      default:
        text[at] = *rc::gen::arbitrary<char>();
    }
  }
  return text;
}

// Asserts that reading succeeded or failed with a documented code and a detail
// or a pointer.
template <typename T>
void CheckAcceptedOrCoded(const result<T>& read) {
  if (read.has_value())
    return;
  const auto number = static_cast<int>(read.error().code);
  RC_ASSERT(number > 1000 && number < 1200);
  RC_ASSERT(ResultCodeOf(number).has_value());
  RC_ASSERT(!read.error().detail.empty() || !read.error().pointer.empty());
}

}  // namespace

TEST_CASE("declarations round-trip and are written canonically") {
  CHECK(rc::check([] {
    const auto declared = GeneratedDeclaration();
    const auto text = WriteDeclaration(declared);
    const auto read = ReadDeclaration(text, kTestNow);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value() == declared);
    RC_ASSERT(WriteDeclaration(read.value()) == text);
  }));
}

// Files may be truncated by a full disk, corrupted by a bad merge, or
// malicious. Reading must always yield a declaration or an error with a result
// code.
TEST_CASE("damaged files yield a declaration or a result code") {
  CHECK(rc::check([] {
    const auto text = Mutated(ExampleText(
        *rc::gen::element<std::string>("nivel-claro", "consortium")));
    CheckAcceptedOrCoded(ReadDeclaration(text, kTestNow));
  }));
}

// A caller may percent-encode any letter of an acknowledgement's path. The
// request must still match the same class, and so keep its at-most-once
// semantics.
TEST_CASE("percent-encoding letters of a path does not change its class") {
  const auto declared = Example("nivel-claro").services[1];
  const std::string plain = "/gates/comporta-7/acknowledgement";
  const auto* expected = MatchClass(declared, "POST", plain);
  REQUIRE(expected != nullptr);
  REQUIRE_FALSE(expected->repeatable);
  CHECK(rc::check([&] {
    std::string spelt;
    for (const char letter : plain) {
      const bool encode = letter != '/' && *rc::gen::arbitrary<bool>();
      spelt += encode ? fmt::format("%{:02x}", static_cast<int>(letter))
                      : std::string(1, letter);
    }
    RC_ASSERT(MatchClass(declared, "POST", spelt) == expected);
  }));
}

TEST_CASE("arbitrary short texts are parsed or refused without a crash") {
  CHECK(rc::check([] {
    const auto letters = std::string("0123456789abf.:/[]TZ-%*\xff ") + '\0';
    const auto text =
        *rc::gen::container<std::string>(rc::gen::elementOf(letters));
    if (const auto block = ParseClientBlock(text))
      RC_ASSERT(ParseClientBlock(FormatClientBlock(*block)) == block);
    if (const auto address = ParseIpAddress(text))
      RC_ASSERT(ParseIpAddress(FormatIpAddress(*address)) == address);
    if (const auto time = ParseWallTime(text))
      RC_ASSERT(ParseWallTime(FormatWallTime(*time)) == time);
    RC_ASSERT(!IsSocketAddress(text) || text.find(':') != std::string::npos);
    const auto* matched =
        MatchClass(Example("consortium").services[0], "GET", text);
    RC_ASSERT(matched == nullptr || text.starts_with('/'));
  }));
}

TEST_CASE("damaged settings and drains are read or refused with a code") {
  const std::string settings =
      R"({"instance":"e","region":"r","failure_domain":"f",
"caller_address":"127.0.0.1:1","operator_address":"127.0.0.1:2",
"peer_address":"127.0.0.1:3","platform_addresses":["127.0.0.1:4"],
"peer_key_file":"k","operator_token_file":"t"})";
  REQUIRE(ReadEntrySettings(settings).has_value());
  const auto drain_text = WriteDrain(
      {"d", drain_scope::kRegion, "r", kTestNow, kTestNow + milliseconds(1)});
  CHECK(rc::check([&] {
    CheckAcceptedOrCoded(ReadEntrySettings(Mutated(settings)));
    CheckAcceptedOrCoded(ReadDrain(Mutated(drain_text)));
  }));
}
