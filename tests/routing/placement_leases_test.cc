#include "routing/placement_leases.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{1h};

placement_lease Lease(time_point expires) {
  placement_lease lease;
  lease.expires = expires;
  return lease;
}

}  // namespace

TEST_CASE("a lease ends once") {
  placement_leases leases;
  leases.Grant({"entry-1", 1, 7}, Lease(kStart + 1s));
  CHECK_FALSE(leases.Take({"entry-1", 2, 7}));
  CHECK_FALSE(leases.Take({"entry-2", 1, 7}));
  CHECK(leases.Take({"entry-1", 1, 7}));
  CHECK_FALSE(leases.Take({"entry-1", 1, 7}));
  CHECK(leases.TakeExpired(kStart + 2s).empty());
}

// Guards against an attempt that counts as load forever, which would make the
// target appear full: the entry that makes the attempt is killed, or its report
// of the end is lost.
TEST_CASE("a lease whose end is never reported expires") {
  placement_leases leases;
  leases.Grant({"entry-1", 1, 1}, Lease(kStart + 1s));
  leases.Grant({"entry-1", 1, 2}, Lease(kStart + 3s));
  CHECK(leases.TakeExpired(kStart).empty());
  CHECK(leases.TakeExpired(kStart + 1s).size() == 1);
  CHECK(leases.size() == 1);
  CHECK(leases.Take({"entry-1", 1, 2}));
}

TEST_CASE("a lease that is granted again has the later expiry") {
  placement_leases leases;
  leases.Grant({"entry-1", 1, 1}, Lease(kStart + 1s));
  leases.Grant({"entry-1", 1, 1}, Lease(kStart + 2s));
  CHECK(leases.TakeExpired(kStart + 1s).empty());
  CHECK(leases.TakeExpired(kStart + 2s).size() == 1);
}
