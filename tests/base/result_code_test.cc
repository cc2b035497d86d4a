#include "base/result_code.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

using namespace samphire;

TEST_CASE("result codes have unique numbers and names") {
  std::set<int> numbers;
  std::set<std::string_view> names;
  for (const auto& info : ResultCodeTable()) {
    CHECK(numbers.insert(static_cast<int>(info.code)).second);
    CHECK(names.insert(info.name).second);
    CHECK_FALSE(info.meaning.empty());
    CHECK(ResultCodeOf(static_cast<int>(info.code)) == info.code);
  }
}

TEST_CASE("docs/RESULT-CODES.md lists exactly the codes of the table") {
  std::ifstream file(SAMPHIRE_SOURCE_DIR "/docs/RESULT-CODES.md");
  std::set<std::string> documented;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("| ") && std::isdigit(line[2]) != 0)
      documented.insert(line);
  }
  std::set<std::string> expected;
  for (const auto& info : ResultCodeTable()) {
    expected.insert(fmt::format(
        "| {} | {} | {} | {} | {} |", static_cast<int>(info.code), info.name,
        info.http_status, info.retryable ? "yes" : "no", info.meaning));
  }
  CHECK(documented == expected);
}
