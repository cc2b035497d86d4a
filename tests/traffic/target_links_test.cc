#include "traffic/sending/target_links.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

struct links_fixture {
  manual_clock clock;
  metrics counters;
  target_links links{clock, counters};

  std::vector<std::string> Ranked() {
    std::vector<std::string> relays = {"a", "b", "c", "d"};
    links.RankRelays(relays);
    return relays;
  }
};

}  // namespace

// Guards against asking one entry after the other in vain, while most entries
// of a region are cut off.
TEST_CASE("an entry that passed a request on is asked first") {
  links_fixture fixture;
  fixture.links.OnRelayed("a", false);
  fixture.links.OnRelayed("c", true);
  CHECK(fixture.Ranked() == std::vector<std::string>{"c", "b", "d"});
  fixture.clock.Advance(5s);
  CHECK(fixture.Ranked() == std::vector<std::string>{"a", "b", "c", "d"});
}

TEST_CASE("if no entry could pass a request on, all are asked again") {
  links_fixture fixture;
  for (const std::string relay : {"a", "b", "c", "d"})
    fixture.links.OnRelayed(relay, false);
  CHECK(fixture.Ranked().size() == 4);
}
