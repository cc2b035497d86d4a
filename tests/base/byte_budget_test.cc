#include "base/byte_budget.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace samphire;

TEST_CASE("readers hold no more together than their budget") {
  byte_budget budget(100);
  {
    budget_share first(budget);
    budget_share second(budget);
    CHECK(first.Add(60));
    CHECK_FALSE(second.Add(41));
    CHECK(second.Add(40));
    CHECK_FALSE(first.Add(1));
  }
  CHECK(budget.left() == 100);
}

TEST_CASE("a budget loses nothing to readers beside each other") {
  byte_budget budget(1000);
  {
    constexpr int kReaders = 4;
    std::vector<std::jthread> readers;
    readers.reserve(kReaders);
    for (int i = 0; i < kReaders; ++i) {
      readers.emplace_back([&budget] {
        for (int k = 0; k < 10'000; ++k) {
          budget_share share(budget);
          while (share.Add(7)) {
          }
        }
      });
    }
  }
  CHECK(budget.left() == 1000);
}
