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

std::string Bytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

// `text` with one byte changed, cut short or grown.
std::string Damaged(std::string text) {
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

// Anyone who reaches the peer port can send any bytes. None may crash an
// entry, make it allocate without bound or be taken for a peer's message.
TEST_CASE("arbitrary bytes are never accepted as a datagram") {
  CHECK(rc::check("arbitrary", [] { RC_ASSERT(!Open(Bytes(), "r", Keys())); }));
  CHECK(rc::check("damaged", [] {
    peer_envelope envelope;
    envelope.sender = "entry";
    envelope.payload = Bytes();
    const auto datagram = Seal(envelope, "r", Keys()).value();
    RC_ASSERT(Open(datagram, "r", Keys()));
    RC_ASSERT(!Open(Damaged(datagram), "r", Keys()));
  }));
}

// A peer that runs another version, or was broken into, signs what it likes.
TEST_CASE("the envelope decoder stands any signed bytes") {
  CHECK(rc::check("signed arbitrary", [] {
    const auto body = Bytes();
    const auto envelope = DecodeBinary<peer_envelope>(body);
    if (envelope) {
      RC_ASSERT(envelope->payload.size() <= body.size());
      RC_ASSERT(envelope->kind <= kLastMessageKind);
    }
  }));
  CHECK(rc::check("damaged", [] {
    const auto body = Damaged(EncodeBinary(peer_envelope{}));
    const auto envelope = DecodeBinary<peer_envelope>(body);
    RC_ASSERT(!envelope || envelope->payload.size() <= body.size());
  }));
}

TEST_CASE("arbitrary or damaged tokens vouch for nothing") {
  const wall_time now{std::chrono::hours(500000)};
  const peer_request request{"GET", "/", "127.0.0.1:80", ""};
  peer_token_verifier verifier(Keys());
  const auto token = SignPeerRequest(request, {"e", 1}, Keys(), now, 1);
  CHECK(rc::check("arbitrary",
                  [&] { RC_ASSERT(!verifier.Verify(request, Bytes(), now)); }));
  CHECK(rc::check("damaged", [&] {
    RC_ASSERT(!verifier.Verify(request, Damaged(token), now));
  }));
  CHECK(verifier.Verify(request, token, now));
}
