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
  entry.in_doubt_after = entry.changed_at =
      wall_time(std::chrono::hours(500000));
  entry.response = {201, {{"Content-Type", "text/plain"}}, "body", 1};
  return entry;
}

// Truncates the text at a random position or changes one random byte.
std::string Damaged(std::string text) {
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  if (*rc::gen::arbitrary<bool>())
    return text.substr(0, at);
  text[at] = static_cast<char>(text[at] ^ *rc::gen::inRange(1, 256));
  return text;
}

}  // namespace

TEST_CASE("a shard survives encoding and decoding unchanged") {
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

// A shard is overwritten or truncated in the platform. If it were decoded as a
// different shard, requests recorded in it would be executed again.
TEST_CASE("damaged or arbitrary bytes are not decoded as a shard") {
  CHECK(rc::check("damaged", [] {
    ledger_shard shard;
    shard.Insert(Entry("a"));
    shard.Insert(Entry("b"));
    RC_ASSERT(!DecodeShard(Damaged(EncodeShard(shard))));
  }));
  CHECK(rc::check("arbitrary", [] { RC_ASSERT(!DecodeShard(Bytes())); }));
}

// A peer of another version, or a compromised one, may sign arbitrary bytes.
TEST_CASE(
    "the decoders of forwarded operations accept arbitrary bytes safely") {
  CHECK(rc::check("requests and responses", [] {
    forward_request request;
    request.entry = Entry("k");
    const auto arbitrary = *rc::gen::arbitrary<bool>();
    const auto one = arbitrary ? Bytes() : Damaged(EncodeBinary(request));
    const auto two =
        arbitrary ? Bytes() : Damaged(EncodeBinary(forward_response{}));
    const auto decoded = DecodeBinary<forward_request>(one);
    if (decoded)
      static_cast<void>(ToOperation(*decoded));
    const auto response = DecodeBinary<forward_response>(two);
    if (response) {
      static_cast<void>(ToOutcome(*response, ToOperation(request)));
      RC_ASSERT(response->response.body.size() <= kMaxRecordedBody);
    }
  }));
}
