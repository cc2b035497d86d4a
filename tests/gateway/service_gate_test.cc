#include "gateway/service_gate.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSlots = 3;

struct gate_fixture {
  system_clock_source clock;
  service declared;
  boost::intrusive_ptr<service_gate> gate;

  gate_fixture() {
    declared.name = "s";
    declared.classes.push_back({.name = "read",
                                .method = "GET",
                                .path = "/**",
                                .deadline = 10s,
                                .max_deadline = 10s,
                                .queue_limit = 64});
    declared.targets.push_back({.name = "w1",
                                .address = "127.0.0.1:1",
                                .failure_domain = "east-a",
                                .slots = kSlots});
    limits bounds;
    bounds.cold_start_ramp = 0ms;
    gate = new service_gate(declared, bounds, new shift_account("east"), 1,
                            clock, [](const loan_outbox&) {});
    gate->SetOwnedSlots({{"w1", kSlots}});
  }

  admission_request Request(std::uint64_t id) const {
    return {.id = id,
            .request_class = &declared.classes[0],
            .home_region = "east",
            .arrived = clock.now(),
            .deadline = clock.now() + 10s};
  }
};

}  // namespace

TEST_CASE("threads that share a gate never hold more than its slots") {
  gate_fixture fixture;
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  std::atomic<int> served{0};
  const caller_watch no_caller;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (std::uint64_t t = 0; t < 8; ++t) {
    threads.emplace_back([&, t] {
      for (std::uint64_t i = 0; i < 50; ++i) {
        const auto end =
            fixture.gate->Acquire(fixture.Request(t * 1000 + i), no_caller);
        const auto* grant = std::get_if<slot_grant>(&end);
        if (grant == nullptr)
          continue;
        const int now = ++running;
        int seen = most;
        while (now > seen && !most.compare_exchange_weak(seen, now)) {
        }
        --running;
        ++served;
        fixture.gate->Finish(*grant, attempt_outcome::kOk, 1ms);
      }
    });
  }
  for (auto& each : threads)
    each.join();
  CHECK(most <= static_cast<int>(kSlots));
  CHECK(served == 400);
  CHECK(fixture.gate->status().in_flight == 0);
}

TEST_CASE("a caller that disconnects loses its place in the queue") {
  // Guards against slots granted to callers that have gone: all slots are busy
  // and a caller closes the page while it waits. Its request must not be served
  // later, when nobody reads the response.
  gate_fixture fixture;
  const caller_watch no_caller;
  std::vector<slot_grant> held;
  held.reserve(kSlots);
  for (std::uint64_t id = 1; id <= kSlots; ++id) {
    held.push_back(std::get<slot_grant>(
        fixture.gate->Acquire(fixture.Request(id), no_caller)));
  }
  Poco::Net::ServerSocket port(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket caller(port.address());
  const caller_watch watch(port.acceptConnection());
  caller.close();
  const auto end = fixture.gate->Acquire(fixture.Request(99), watch);
  CHECK(std::holds_alternative<caller_disconnected>(end));
  for (const auto& each : held)
    fixture.gate->Finish(each, attempt_outcome::kOk, 1ms);
  CHECK(fixture.gate->status().in_flight == 0);
  CHECK(fixture.gate->status().free == kSlots);
}

TEST_CASE("work on a released partition is counted until it ends") {
  gate_fixture fixture;
  const caller_watch no_caller;
  const auto grant = std::get<slot_grant>(
      fixture.gate->Acquire(fixture.Request(1), no_caller));
  CHECK(fixture.gate->excess_slot_count() == 0);
  fixture.gate->SetOwnedSlots({{"w1", 0}});
  CHECK(fixture.gate->excess_slot_count() == 1);
  fixture.gate->SetClosedTargets({"w1"});
  CHECK(fixture.gate->draining() == std::set<std::string>{"w1"});
  fixture.gate->Finish(grant, attempt_outcome::kOk, 1ms);
  CHECK(fixture.gate->excess_slot_count() == 0);
  CHECK(fixture.gate->draining().empty());
}
