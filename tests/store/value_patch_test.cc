#include "store/value_patch.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <random>

#include "base/deflate.h"

using namespace samphire;

namespace {

std::string RandomText(std::mt19937& random, std::size_t size) {
  std::string text;
  while (text.size() < size)
    text += static_cast<char>('a' + random() % 20);
  return text;
}

}  // namespace

TEST_CASE("a patch turns its base into the value") {
  rc::check([](const std::string& base, const std::string& value) {
    const auto patched = ApplyPatch(MakePatch(3, base, value), base);
    RC_ASSERT(patched);
    RC_ASSERT(patched.value() == value);
  });
}

TEST_CASE("a patch of an edited value applies whatever the edits") {
  std::mt19937 random(7);
  for (int round = 0; round < 200; ++round) {
    INFO("round " << round);
    const auto base = RandomText(random, random() % 5000);
    auto value = base;
    for (auto edits = random() % 6; edits > 0; --edits) {
      const auto at = random() % (value.size() + 1);
      value.erase(at, random() % 100);
      value.insert(random() % (value.size() + 1),
                   RandomText(random, random() % 100));
      value += value.substr(random() % (value.size() + 1), 64);
    }
    const auto patched = ApplyPatch(MakePatch(1, base, value), base);
    REQUIRE(patched);
    REQUIRE(patched.value() == value);
  }
}

// Guards against patches as large as the value, which would saturate the link
// of the entry that sends them.
TEST_CASE("the size of a patch follows the size of the change") {
  std::mt19937 random(1);
  const auto base = RandomText(random, 400'000);
  auto value = base;
  value.replace(10, 4, "1001");
  value.replace(200'000, 2, "changed");
  value.replace(value.size() - 9, 8, "00000002");
  CHECK(MakePatch(1, base, value).bytes.size() < 300);
}

// Guards against a damaged or misdirected patch that is taken for a
// configuration.
TEST_CASE("a patch that is damaged or meant for another base is refused") {
  std::mt19937 random(5);
  const auto base = RandomText(random, 3000);
  const auto value = base + "more";
  const auto patch = MakePatch(1, base, value);
  CHECK(ApplyPatch(patch, base.substr(1)).error().code ==
        result_code::kPeerMalformed);
  for (std::size_t at = 0; at < patch.bytes.size(); ++at) {
    auto damaged = patch;
    damaged.bytes[at] = static_cast<char>(damaged.bytes[at] ^ 0x20);
    const auto patched = ApplyPatch(damaged, base);
    CHECK((!patched || patched.value() == value));
    damaged.bytes.resize(at);
    const auto truncated = ApplyPatch(damaged, base);
    CHECK((!truncated || truncated.value() == value));
  }
}

// Guards against a few bytes that expand until the process is out of memory.
TEST_CASE("decompression stops at its bound") {
  const auto compressed = Deflate(std::string(100'000, 'a'));
  CHECK(compressed.size() < 1000);
  CHECK(Inflate(compressed, 100'000));
  CHECK_FALSE(Inflate(compressed, 99'999));
  CHECK_FALSE(Inflate("no zlib stream", 1000));
}
