#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

#include "base/system_clock_source.h"
#include "peer/envelope_codec.h"
#include "peer/message_digest.h"
#include "peer/peer_token.h"
#include "peer/replay_guard.h"
#include "peer/udp_peer_transport.h"

using namespace samphire;

namespace {

constexpr const char* kOldKey = "old-old-old-old-old-old-old-old-old";
constexpr const char* kNewKey = "new-new-new-new-new-new-new-new-new";

peer_keys Keys(const std::string& text) {
  return peer_keys::Parse(text).value();
}

peer_envelope Envelope(std::uint64_t incarnation,
                       std::uint64_t sequence,
                       wall_time at) {
  peer_envelope envelope;
  envelope.sender = "entry-1";
  envelope.incarnation = incarnation;
  envelope.sequence = sequence;
  envelope.sent_at_us =
      std::chrono::duration_cast<microseconds>(at.time_since_epoch()).count();
  envelope.payload = "hello";
  return envelope;
}

// Collects the messages that a transport delivers, and waits for them.
struct message_collector {
  void Add(const peer_message& message) {
    std::lock_guard guard(lock);
    messages.push_back(message);
    arrived.notify_all();
  }
  void WaitFor(std::size_t count) {
    std::unique_lock guard(lock);
    arrived.wait(guard, [&] { return messages.size() >= count; });
  }

  std::mutex lock;
  std::condition_variable arrived;
  std::vector<peer_message> messages;
};

}  // namespace

TEST_CASE("the keyed digest is HMAC-SHA256") {
  // Test case 2 of RFC 4231.
  const auto digest = HmacSha256("Jefe", "what do ya want for nothing?");
  REQUIRE(digest.size() == kDigestBytes);
  CHECK(digest.substr(0, 4) == "\x5b\xdc\xc1\x46");
  CHECK(digest.substr(28) == "\x64\xec\x38\x43");
}

TEST_CASE("a key file without a valid key is rejected with its reason") {
  CHECK(peer_keys::Parse("# none\n").error().code == result_code::kFileEmpty);
  CHECK(peer_keys::Parse("short").error().code ==
        result_code::kValueOutOfRange);
  CHECK(peer_keys::Load("/nonexistent").error().code ==
        result_code::kFileUnreadable);
  CHECK(peer_keys::Parse(std::string("# comment\n  ") + kOldKey + " \r\n"));
}

// The fleet's key is replaced on one instance after another. In between, some
// instances sign with the old key and some with the new one, and no message may
// be dropped.
TEST_CASE("old and new key are both accepted during key rotation") {
  const auto distributed = Keys(std::string(kOldKey) + "\n" + kNewKey);
  const auto switched = Keys(std::string(kNewKey) + "\n" + kOldKey);
  const auto envelope = Envelope(1, 1, wall_time{});
  CHECK(VerifyEnvelope(SignEnvelope(envelope, "r", distributed).value(), "r",
                       switched));
  CHECK(VerifyEnvelope(SignEnvelope(envelope, "r", switched).value(), "r",
                       distributed));
  CHECK(VerifyEnvelope(SignEnvelope(envelope, "r", Keys(kNewKey)).value(), "r",
                       Keys(kOldKey))
            .error()
            .code == result_code::kPeerBadDigest);
}

TEST_CASE("a datagram is bound to one receiver and limited in size") {
  const auto keys = Keys(kOldKey);
  auto envelope = Envelope(1, 1, wall_time{});
  const auto datagram = SignEnvelope(envelope, "127.0.0.1:1", keys).value();
  CHECK(VerifyEnvelope(datagram, "127.0.0.1:2", keys).error().code ==
        result_code::kPeerBadDigest);
  envelope.sender.assign(kMaxSenderNameBytes, 's');
  envelope.payload.assign(kMaxPeerPayloadBytes, 'p');
  CHECK(SignEnvelope(envelope, "r", keys).value().size() <= kMaxDatagramBytes);
  envelope.payload += 'p';
  CHECK(SignEnvelope(envelope, "r", keys).error().code ==
        result_code::kPeerMalformed);
}

// An attacker sends a captured datagram again, or a paused process that was
// replaced resumes and sends messages. Either could revert state that its
// instance has announced since, so that work is lent or lost twice.
TEST_CASE("replayed, old and superseded messages are refused") {
  replay_guard guard;
  const wall_time now{std::chrono::hours(500000)};
  CHECK(guard.Accept(Envelope(5, 1, now), now));
  CHECK_FALSE(guard.Accept(Envelope(5, 1, now), now));
  CHECK(guard.Accept(Envelope(5, 9000, now), now));
  CHECK(guard.Accept(Envelope(5, 8999, now), now));
  CHECK_FALSE(guard.Accept(Envelope(5, 8999, now), now));
  CHECK_FALSE(guard.Accept(Envelope(5, 2, now), now));
  CHECK(guard.Accept(Envelope(6, 1, now), now));
  CHECK_FALSE(guard.Accept(Envelope(5, 9001, now), now));
  CHECK_FALSE(guard.Accept(Envelope(6, 2, now - std::chrono::minutes(1)), now));
  CHECK_FALSE(guard.Accept(Envelope(6, 3, now + std::chrono::minutes(1)), now));
  CHECK(guard.senders() == 1);
}

TEST_CASE("datagrams reach their handler, unauthenticated ones are counted") {
  system_clock_source clock;
  metrics registry;
  message_collector received;
  udp_peer_transport alice("127.0.0.1:0", "alice", 7, Keys(kOldKey), clock,
                           registry);
  udp_peer_transport bob("127.0.0.1:0", "bob", 1, Keys(kOldKey), clock,
                         registry);
  udp_peer_transport mallory("127.0.0.1:0", "alice", 8, Keys(kNewKey), clock,
                             registry);
  bob.OnMessage(message_kind::kLoanRequest,
                [&](const peer_message& message) { received.Add(message); });
  bob.Start();
  REQUIRE(mallory.Send(bob.address(), message_kind::kLoanRequest, "forged"));
  Poco::Net::DatagramSocket raw(Poco::Net::SocketAddress("127.0.0.1:0"));
  raw.sendTo("x", 1, Poco::Net::SocketAddress(bob.address()));
  const std::string huge(kMaxDatagramBytes + 500, 'x');
  raw.sendTo(huge.data(), static_cast<int>(huge.size()),
             Poco::Net::SocketAddress(bob.address()));
  REQUIRE(alice.Send(bob.address(), message_kind::kLoanRequest, "real"));
  received.WaitFor(1);
  CHECK(received.messages.front().payload == "real");
  CHECK(received.messages.front().sender == "alice");
  CHECK(received.messages.front().incarnation == 7);
  CHECK(received.messages.front().from == alice.address());
  CHECK(registry.counter("peer_dropped_total", "reason=\"peer-bad-digest\"") ==
        1);
  CHECK(registry.counter("peer_dropped_total", "reason=\"peer-malformed\"") ==
        2);
}

TEST_CASE("a forwarded request is authenticated once and only unchanged") {
  const wall_time now{std::chrono::hours(500000)};
  const auto keys = Keys(kOldKey);
  const peer_request request{"POST", "/v1/services/s/ack", "127.0.0.1:80",
                             "digest"};
  const auto token = SignPeerRequest(request, {"entry-1", 4}, keys, now, 99);
  peer_token_verifier verifier(keys);
  auto changed = request;
  changed.signed_content = "other";
  CHECK(verifier.Verify(changed, token, now).error().code ==
        result_code::kPeerBadDigest);
  CHECK(verifier.Verify(request, token, now + std::chrono::minutes(1))
            .error()
            .code == result_code::kPeerReplayed);
  const auto identity = verifier.Verify(request, token, now);
  REQUIRE(identity);
  CHECK(identity.value().instance == "entry-1");
  CHECK(identity.value().incarnation == 4);
  CHECK(verifier.Verify(request, token, now + std::chrono::seconds(29))
            .error()
            .code == result_code::kPeerReplayed);
  CHECK(verifier.Verify(request, "1 a b c d e", now).error().code ==
        result_code::kPeerMalformed);
}
