#include "peer/peer_token.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace samphire {

namespace {

// Maximum age of a token, and maximum difference between the clocks of two
// entries. Exceeds the transit time of a request to a peer and the usual
// difference between clocks.
constexpr std::int64_t kMaxAgeMs = 30'000;
// The tokens of the current and the preceding period are stored. A token that
// is in neither period any more is refused because of its age.
constexpr std::int64_t kRetentionPeriodMs = 2 * kMaxAgeMs;
// Maximum number of tokens per shard and period. Bounds the memory if the fleet
// forwards more requests than it was designed for; beyond it requests are
// refused, so that no replay is accepted.
constexpr std::size_t kMaxTokensPerShard = 1 << 17;
// Maximum length of a token, in bytes; longer ones are refused unparsed.
constexpr std::size_t kMaxTokenBytes = 512;
// Version, instance, incarnation, time, nonce and digest.
constexpr std::size_t kFieldCount = 6;
// Version of the token format.
constexpr std::string_view kVersion = "1";

std::int64_t MillisecondsOf(wall_time time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

// Writes lower case only. If both cases were accepted, one token would have
// many forms, each of which would be considered new.
std::string EncodeHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string DecodeHex(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    unsigned char byte = 0;
    std::from_chars(text.data() + i, text.data() + i + 2, byte, 16);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

// Each field is preceded by its length, so that no two different requests have
// the same signed text.
std::string SignedText(const peer_request& request, std::string_view claims) {
  std::string text;
  for (const std::string_view field :
       {claims, std::string_view(request.method),
        std::string_view(request.request_target),
        std::string_view(request.receiver_address),
        std::string_view(request.signed_content)}) {
    text += fmt::format("{}:{}", field.size(), field);
  }
  return text;
}

std::optional<std::array<std::string_view, kFieldCount>> SplitFields(
    std::string_view token) {
  std::array<std::string_view, kFieldCount> fields;
  for (std::size_t i = 0; i < kFieldCount; ++i) {
    const auto space = token.find(' ');
    const bool is_last = i + 1 == kFieldCount;
    if (is_last != (space == std::string_view::npos))
      return std::nullopt;
    fields[i] = token.substr(0, space);
    if (!is_last)
      token.remove_prefix(space + 1);
  }
  return fields;
}

error MalformedTokenError() {
  return MakeError(result_code::kPeerMalformed, "malformed peer token");
}

}  // namespace

std::string SignPeerRequest(const peer_request& request,
                            const peer_identity& self,
                            const peer_keys& keys,
                            wall_time now,
                            std::uint64_t nonce) {
  const auto claims =
      fmt::format("{} {} {} {} {:016x}", kVersion, self.instance,
                  self.incarnation, MillisecondsOf(now), nonce);
  return fmt::format("{} {}", claims,
                     EncodeHex(keys.Sign(SignedText(request, claims))));
}

peer_token_verifier::peer_token_verifier(peer_keys keys)
    : keys_(std::move(keys)) {}

result<peer_identity> peer_token_verifier::Verify(const peer_request& request,
                                                  std::string_view token,
                                                  wall_time now) {
  if (token.size() > kMaxTokenBytes)
    return MalformedTokenError();
  const auto fields = SplitFields(token);
  if (!fields || fields->front() != kVersion)
    return MalformedTokenError();
  const auto incarnation = ParseNumber<std::uint64_t>((*fields)[2]);
  const auto sent_at_ms = ParseNumber<std::int64_t>((*fields)[3]);
  if (!incarnation || !sent_at_ms)
    return MalformedTokenError();
  const auto digest = fields->back();
  const auto claims = token.substr(0, token.size() - digest.size() - 1);
  const auto bytes = DecodeHex(digest);
  if (EncodeHex(bytes) != digest)
    return MalformedTokenError();
  if (!keys_.Accepts(SignedText(request, claims), bytes))
    return MakeError(result_code::kPeerBadDigest);
  const auto now_ms = MillisecondsOf(now);
  if (*sent_at_ms < now_ms - kMaxAgeMs || *sent_at_ms > now_ms + kMaxAgeMs)
    return MakeError(result_code::kPeerReplayed, "outside-time");
  const bool is_new = seen_.With(digest, [&](seen_tokens& seen) {
    return RecordIfNew(seen, digest, now_ms / kRetentionPeriodMs);
  });
  if (!is_new)
    return MakeError(result_code::kPeerReplayed, "seen-before");
  return peer_identity{std::string((*fields)[1]), *incarnation};
}

// Stores the digest in the current period and returns whether it was not stored
// already. A new period replaces the preceding one.
bool peer_token_verifier::RecordIfNew(seen_tokens& seen,
                                      std::string_view digest,
                                      std::int64_t period) {
  if (period > seen.period) {
    const bool consecutive = period == seen.period + 1;
    seen.previous =
        consecutive ? std::move(seen.current) : decltype(seen.previous){};
    seen.current.clear();
    seen.period = period;
  }
  if (seen.previous.contains(digest) ||
      seen.current.size() >= kMaxTokensPerShard)
    return false;
  return seen.current.emplace(digest).second;
}

}  // namespace samphire
