#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "ledger/forward_message.h"
#include "ledger/ledger_codec.h"

using namespace samphire;

namespace {

std::string Bytes() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

ledger_entry Entry(const std::string& key) {
  ledger_entry entry;
  entry.service = "s";
  entry.key = key;
  entry.doubt_after = entry.changed_at = wall_time(std::chrono::hours(500000));
  entry.answer = {201, {{"Content-Type", "text/plain"}}, "body", 1};
  return entry;
}

std::string Damaged(std::string text) {
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  if (*rc::gen::arbitrary<bool>())
    return text.substr(0, at);
  text[at] = static_cast<char>(text[at] ^ *rc::gen::inRange(1, 256));
  return text;
}

}  // namespace

TEST_CASE("a shard comes back from its bytes as it was") {
  CHECK(rc::check("round trip", [] {
    ledger_shard shard;
    for (const auto& key : *rc::gen::arbitrary<std::vector<std::string>>()) {
      if (key.size() <= kMaxIdempotencyKey)
        shard.Insert(Entry(key));
    }
    const auto bytes = EncodeShard(shard);
    const auto back = DecodeShard(bytes);
    RC_ASSERT(back);
    RC_ASSERT(back.value().entries().size() == shard.entries().size());
    RC_ASSERT(EncodeShard(back.value()) == bytes);
    RC_ASSERT(bytes.size() <= shard.bytes() + 100);
  }));
}

// A shard is overwritten or cut short in the platform. Were it read as another
// shard, claims in it would run again.
TEST_CASE("no damaged or arbitrary bytes are taken for a shard") {
  CHECK(rc::check("damaged", [] {
    ledger_shard shard;
    shard.Insert(Entry("a"));
    shard.Insert(Entry("b"));
    RC_ASSERT(!DecodeShard(Damaged(EncodeShard(shard))));
  }));
  CHECK(rc::check("arbitrary", [] { RC_ASSERT(!DecodeShard(Bytes())); }));
}

// A peer of another version, or one that was broken into, signs any bytes.
TEST_CASE("the decoders of forwarded operations stand any bytes") {
  CHECK(rc::check("asks and answers", [] {
    forward_ask ask;
    ask.entry = Entry("k");
    const auto arbitrary = *rc::gen::arbitrary<bool>();
    const auto one = arbitrary ? Bytes() : Damaged(EncodeBinary(ask));
    const auto two =
        arbitrary ? Bytes() : Damaged(EncodeBinary(forward_answer{}));
    const auto decoded = DecodeBinary<forward_ask>(one);
    if (decoded)
      static_cast<void>(ToOperation(*decoded));
    const auto answer = DecodeBinary<forward_answer>(two);
    if (answer) {
      static_cast<void>(ToOutcome(*answer, ToOperation(ask)));
      RC_ASSERT(answer->answer.body.size() <= kMaxRecordedBody);
    }
  }));
}
