#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "membership/membership_core.h"

using namespace samphire;

namespace {

member Self() {
  member self;
  self.name = "self";
  self.region = "r";
  self.incarnation = 1;
  return self;
}

std::string Bytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

// Returns a valid probe with one byte changed.
std::string DamagedProbe() {
  probe_message probe;
  probe.gossip.records.push_back(Self());
  probe.gossip.updates.push_back({"other", 1, 1, member_state::kSuspect});
  probe.gossip.regions.push_back({"x", 5, 1, 1, 1, 1, {{"n", "c", "p"}}});
  auto bytes = EncodeBinary(probe);
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
  return bytes;
}

}  // namespace

// A peer of another version, or a compromised one, can sign arbitrary payloads.
// They may be ignored or accepted, but must neither stop an entry nor exhaust
// its memory.
TEST_CASE("membership survives any payload of a signed message") {
  CHECK(rc::check("payloads", [] {
    const time_point now{std::chrono::hours(1)};
    membership_core core(Self(), {}, now, wall_time(now.time_since_epoch()), 1);
    const auto kind = *rc::gen::elementOf(
        std::vector{message_kind::kProbe, message_kind::kProbeAck,
                    message_kind::kProbeRequest, message_kind::kJoin,
                    message_kind::kSyncRequest, message_kind::kGossip,
                    message_kind::kRegionDigest, message_kind::kPing,
                    message_kind::kPingAck});
    const auto payload = *rc::gen::arbitrary<bool>() ? Bytes() : DamagedProbe();
    core.Receive(kind, {"peer", 1, "127.0.0.1:1", payload}, now);
    for (int i = 0; i < 50; ++i)
      core.Tick(now + milliseconds(100) * i);
    RC_ASSERT(core.table().other_members().size() <= kMaxGossipItems);
    for (const auto& message : core.TakeOutgoing())
      RC_ASSERT(message.payload.size() <= 1072U);
  }));
}
