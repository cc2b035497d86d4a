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

struct gate_rig {
  system_clock_source clock;
  service declared;
  boost::intrusive_ptr<service_gate> gate;

  gate_rig() {
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

TEST_CASE("threads share a gate and never hold more than its slots") {
  gate_rig rig;
  std::atomic<int> running{0};
  std::atomic<int> most{0};
  std::atomic<int> served{0};
  const caller_watch nobody;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (std::uint64_t t = 0; t < 8; ++t) {
    threads.emplace_back([&, t] {
      for (std::uint64_t i = 0; i < 50; ++i) {
        const auto end = rig.gate->Acquire(rig.Request(t * 1000 + i), nobody);
        const auto* grant = std::get_if<slot_grant>(&end);
        if (grant == nullptr)
          continue;
        const int now = ++running;
        int seen = most;
        while (now > seen && !most.compare_exchange_weak(seen, now)) {
        }
        --running;
        ++served;
        rig.gate->Finish(*grant, attempt_outcome::kOk, 1ms);
      }
    });
  }
  for (auto& each : threads)
    each.join();
  CHECK(most <= static_cast<int>(kSlots));
  CHECK(served == 400);
  CHECK(rig.gate->status().in_flight == 0);
}

TEST_CASE("a caller that leaves the queue gives up its place") {
  // All slots are busy and a caller closes the page while it waits. Its place
  // must not be served later, when nobody is there to take the answer.
  gate_rig rig;
  const caller_watch nobody;
  std::vector<slot_grant> held;
  held.reserve(kSlots);
  for (std::uint64_t id = 1; id <= kSlots; ++id) {
    held.push_back(
        std::get<slot_grant>(rig.gate->Acquire(rig.Request(id), nobody)));
  }
  Poco::Net::ServerSocket port(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket caller(port.address());
  const caller_watch watch(port.acceptConnection());
  caller.close();
  const auto end = rig.gate->Acquire(rig.Request(99), watch);
  CHECK(std::holds_alternative<caller_left>(end));
  for (const auto& each : held)
    rig.gate->Finish(each, attempt_outcome::kOk, 1ms);
  CHECK(rig.gate->status().in_flight == 0);
  CHECK(rig.gate->status().free == kSlots);
}

TEST_CASE("work on a seat that was given up is seen until it ends") {
  gate_rig rig;
  const caller_watch nobody;
  const auto grant =
      std::get<slot_grant>(rig.gate->Acquire(rig.Request(1), nobody));
  CHECK(rig.gate->over_owned() == 0);
  rig.gate->SetOwnedSlots({{"w1", 0}});
  CHECK(rig.gate->over_owned() == 1);
  rig.gate->SetClosedTargets({"w1"});
  CHECK(rig.gate->draining() == std::set<std::string>{"w1"});
  rig.gate->Finish(grant, attempt_outcome::kOk, 1ms);
  CHECK(rig.gate->over_owned() == 0);
  CHECK(rig.gate->draining().empty());
}
