#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "peer/envelope_codec.h"
#include "peer/peer_token.h"

using namespace samphire;

namespace {

constexpr const char* kKey = "key-key-key-key-key-key-key-key-key";

peer_keys Keys() {
  return peer_keys::Parse(kKey).value();
}

std::string ArbitraryBytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

// Returns `text` with one byte changed, truncated or with one byte appended.
std::string Corrupted(std::string text) {
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      text[at] = static_cast<char>(text[at] ^ *rc::gen::inRange(1, 256));
      return text;
    case 1:
      return text.substr(0, at);
    default:
      return text + static_cast<char>(*rc::gen::inRange(0, 256));
  }
}

}  // namespace

// Anyone who can reach the peer port can send arbitrary bytes. None may crash
// an entry, make it allocate unbounded memory or be accepted as a peer's
// message.
TEST_CASE("arbitrary bytes are never accepted as a datagram") {
  CHECK(rc::check("arbitrary", [] {
    RC_ASSERT(!VerifyEnvelope(ArbitraryBytes(), "r", Keys()));
  }));
  CHECK(rc::check("damaged", [] {
    peer_envelope envelope;
    envelope.sender = "entry";
    envelope.payload = ArbitraryBytes();
    const auto datagram = SignEnvelope(envelope, "r", Keys()).value();
    RC_ASSERT(VerifyEnvelope(datagram, "r", Keys()));
    RC_ASSERT(!VerifyEnvelope(Corrupted(datagram), "r", Keys()));
  }));
}

// A peer that runs another version or is compromised may sign arbitrary bytes.
TEST_CASE("the envelope decoder handles arbitrary signed bytes") {
  CHECK(rc::check("signed arbitrary", [] {
    const auto body = ArbitraryBytes();
    const auto envelope = DecodeBinary<peer_envelope>(body);
    if (envelope) {
      RC_ASSERT(envelope->payload.size() <= body.size());
      RC_ASSERT(envelope->kind <= kLastMessageKind);
    }
  }));
  CHECK(rc::check("damaged", [] {
    const auto body = Corrupted(EncodeBinary(peer_envelope{}));
    const auto envelope = DecodeBinary<peer_envelope>(body);
    RC_ASSERT(!envelope || envelope->payload.size() <= body.size());
  }));
}

TEST_CASE("arbitrary or damaged tokens are rejected") {
  const wall_time now{std::chrono::hours(500000)};
  const peer_request request{"GET", "/", "127.0.0.1:80", ""};
  peer_token_verifier verifier(Keys());
  const auto token = SignPeerRequest(request, {"e", 1}, Keys(), now, 1);
  CHECK(rc::check("arbitrary", [&] {
    RC_ASSERT(!verifier.Verify(request, ArbitraryBytes(), now));
  }));
  CHECK(rc::check("damaged", [&] {
    RC_ASSERT(!verifier.Verify(request, Corrupted(token), now));
  }));
  CHECK(verifier.Verify(request, token, now));
}
