#include "routing/placing_leases.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{1h};

placing_lease Lease(time_point expires) {
  placing_lease lease;
  lease.expires = expires;
  return lease;
}

}  // namespace

TEST_CASE("a lease ends once") {
  placing_leases leases;
  leases.Grant({"entry-1", 1, 7}, Lease(kStart + 1s));
  CHECK_FALSE(leases.Take({"entry-1", 2, 7}));
  CHECK_FALSE(leases.Take({"entry-2", 1, 7}));
  CHECK(leases.Take({"entry-1", 1, 7}));
  CHECK_FALSE(leases.Take({"entry-1", 1, 7}));
  CHECK(leases.TakeExpired(kStart + 2s).empty());
}

// An entry that was given a target is killed, or its news of the end is lost.
// Counted for good, its work would make the target look full for ever.
TEST_CASE("a lease whose end is never told expires") {
  placing_leases leases;
  leases.Grant({"entry-1", 1, 1}, Lease(kStart + 1s));
  leases.Grant({"entry-1", 1, 2}, Lease(kStart + 3s));
  CHECK(leases.TakeExpired(kStart).empty());
  CHECK(leases.TakeExpired(kStart + 1s).size() == 1);
  CHECK(leases.size() == 1);
  CHECK(leases.Take({"entry-1", 1, 2}));
}

TEST_CASE("a lease that is granted again has the later expiry") {
  placing_leases leases;
  leases.Grant({"entry-1", 1, 1}, Lease(kStart + 1s));
  leases.Grant({"entry-1", 1, 1}, Lease(kStart + 2s));
  CHECK(leases.TakeExpired(kStart + 1s).empty());
  CHECK(leases.TakeExpired(kStart + 2s).size() == 1);
}
