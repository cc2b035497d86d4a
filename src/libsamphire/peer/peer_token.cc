#include "peer/peer_token.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace samphire {

namespace {

// Longer than a request is on its way to a peer, and than clocks differ.
constexpr std::int64_t kMaxAgeMs = 30'000;
// A token is refused by its age once it has left both remembered periods.
constexpr std::int64_t kPeriodMs = 2 * kMaxAgeMs;
// Per shard. It bounds memory should the fleet pass on more requests than it
// was sized for; beyond it requests are refused rather than replays allowed.
constexpr std::size_t kMaxRemembered = 1 << 17;
constexpr std::size_t kMaxToken = 512;
constexpr std::size_t kFields = 6;
constexpr std::string_view kVersion = "1";

std::int64_t MillisecondsOf(wall_time time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

// Lower case only: were both cases accepted, one token would have many forms,
// and each of them would count as new.
std::string Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : bytes) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string Unhex(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
    unsigned char byte = 0;
    std::from_chars(text.data() + i, text.data() + i + 2, byte, 16);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

template <typename T>
std::optional<T> NumberOf(std::string_view text) {
  T number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

// Lengths go before the fields, so that no two requests sign the same text.
std::string SignedText(const peer_request& request, std::string_view claims) {
  std::string text;
  for (const std::string_view field :
       {claims, std::string_view(request.method),
        std::string_view(request.target), std::string_view(request.receiver),
        std::string_view(request.content)}) {
    text += fmt::format("{}:{}", field.size(), field);
  }
  return text;
}

std::optional<std::array<std::string_view, kFields>> Split(
    std::string_view token) {
  std::array<std::string_view, kFields> fields;
  for (std::size_t i = 0; i < kFields; ++i) {
    const auto space = token.find(' ');
    const bool last = i + 1 == kFields;
    if (last != (space == std::string_view::npos))
      return std::nullopt;
    fields[i] = token.substr(0, space);
    if (!last)
      token.remove_prefix(space + 1);
  }
  return fields;
}

error Malformed() {
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
                     Hex(keys.Sign(SignedText(request, claims))));
}

peer_token_verifier::peer_token_verifier(peer_keys keys)
    : keys_(std::move(keys)) {}

result<peer_identity> peer_token_verifier::Verify(const peer_request& request,
                                                  std::string_view token,
                                                  wall_time now) {
  if (token.size() > kMaxToken)
    return Malformed();
  const auto fields = Split(token);
  if (!fields || fields->front() != kVersion)
    return Malformed();
  const auto incarnation = NumberOf<std::uint64_t>((*fields)[2]);
  const auto sent_at = NumberOf<std::int64_t>((*fields)[3]);
  if (!incarnation || !sent_at)
    return Malformed();
  const auto digest = fields->back();
  const auto claims = token.substr(0, token.size() - digest.size() - 1);
  const auto bytes = Unhex(digest);
  if (Hex(bytes) != digest)
    return Malformed();
  if (!keys_.Accepts(SignedText(request, claims), bytes))
    return MakeError(result_code::kPeerBadDigest);
  const auto now_ms = MillisecondsOf(now);
  if (*sent_at < now_ms - kMaxAgeMs || *sent_at > now_ms + kMaxAgeMs)
    return MakeError(result_code::kPeerReplayed, "outside-time");
  const bool fresh = seen_.With(digest, [&](seen_tokens& seen) {
    return Remember(seen, digest, now_ms / kPeriodMs);
  });
  if (!fresh)
    return MakeError(result_code::kPeerReplayed, "seen-before");
  return peer_identity{std::string((*fields)[1]), *incarnation};
}

bool peer_token_verifier::Remember(seen_tokens& seen,
                                   std::string_view digest,
                                   std::int64_t period) {
  if (period > seen.period) {
    const bool next = period == seen.period + 1;
    seen.previous = next ? std::move(seen.present) : decltype(seen.previous){};
    seen.present.clear();
    seen.period = period;
  }
  if (seen.previous.contains(digest) || seen.present.size() >= kMaxRemembered)
    return false;
  return seen.present.emplace(digest).second;
}

}  // namespace samphire
