#include "traffic/sending/outgoing_body.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

using namespace samphire;

namespace {

// A source of a given number of bytes.
class counted_source final : public body_source {
 public:
  explicit counted_source(std::size_t bytes) : left_(bytes) {}

  result<std::size_t> Read(std::span<char> buffer) override {
    const auto given = std::min(left_, buffer.size());
    left_ -= given;
    return given;
  }

 private:
  std::size_t left_;
};

std::size_t ReadAll(body_rest& rest) {
  std::array<char, 7> buffer{};
  std::size_t all = 0;
  while (const auto got = rest.Read(buffer).value())
    all += got;
  return all;
}

}  // namespace

TEST_CASE("a buffered body can be sent any number of times") {
  outgoing_body body("whole");
  for (int i = 0; i < 3; ++i) {
    const auto rest = body.TakeRest();
    REQUIRE(rest);
    CHECK_FALSE(rest.value());
    CHECK(body.CanBeSent());
  }
  CHECK(body.length() == 5);
}

// Guards against a second receiver that gets what a first one has left.
TEST_CASE("the rest of a body can be taken once") {
  counted_source source(20);
  outgoing_body body("start", source, std::nullopt);
  CHECK(body.CanBeSent());
  CHECK_FALSE(body.length());
  auto rest = body.TakeRest();
  REQUIRE(rest);
  REQUIRE(rest.value());
  CHECK_FALSE(body.CanBeSent());
  CHECK(body.TakeRest().error().code == result_code::kBodySpent);
  CHECK(ReadAll(*rest.value()) == 20);
  CHECK(body.state() == body_state::kEnded);
  CHECK(body.length() == 25);
  CHECK(body.TakeRest().error().code == result_code::kBodySpent);
}

// Guards against a body that is lost to a receiver that never asked for it.
TEST_CASE("a body whose rest may not be taken stays whole") {
  counted_source source(20);
  outgoing_body body("start", source, 25);
  body.SetPermission([] { return MakeError(result_code::kCallerGone); });
  CHECK(body.TakeRest().error().code == result_code::kCallerGone);
  CHECK(body.CanBeSent());
  body.SetPermission([] { return result<void>(Success()); });
  CHECK(body.TakeRest());
}
