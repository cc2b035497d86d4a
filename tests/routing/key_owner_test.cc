#include "routing/key_owner.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

using namespace samphire;

namespace {

std::vector<std::string> Entries(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    names.push_back("entry-" + std::to_string(i));
  return names;
}

}  // namespace

TEST_CASE("keys have no owner if there are few entries") {
  CHECK_FALSE(KeyOwner(7, {}));
  CHECK_FALSE(KeyOwner(7, Entries(6)));
  CHECK(KeyOwner(7, Entries(7)));
}

TEST_CASE("entries own about the same number of keys") {
  const auto names = Entries(10);
  std::map<std::size_t, int> keys;
  for (std::uint64_t key = 0; key < 10'000; ++key)
    ++keys[*KeyOwner(key, names)];
  CHECK(keys.size() == 10);
  for (const auto& [owner, count] : keys) {
    CHECK(count > 800);
    CHECK(count < 1200);
  }
}

// Guards against a change of most keys' owners when an entry is killed. What
// the owners know of keys and queues would be lost at once, and each key would
// appear new.
TEST_CASE("an entry that leaves moves only its own keys") {
  const auto all = Entries(10);
  auto left = all;
  left.erase(left.begin() + 3);
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const auto& before = all[*KeyOwner(key, all)];
    if (before != "entry-3")
      CHECK(left[*KeyOwner(key, left)] == before);
  }
}
