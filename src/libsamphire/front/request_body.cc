#include "front/request_body.h"

namespace samphire {

namespace {

std::optional<std::uint64_t> LengthOf(const body_framing& framing) {
  if (const auto* fixed = std::get_if<fixed_length_body>(&framing))
    return fixed->length;
  if (std::holds_alternative<no_body>(framing))
    return 0;
  return std::nullopt;
}

}  // namespace

request_body::request_body(front_session& session,
                           const body_framing& framing,
                           std::uint64_t limit,
                           time_point deadline)
    : buffer_(session, deadline),
      input_(&buffer_),
      reader_(input_, framing),
      length_(LengthOf(framing)),
      limit_(limit),
      ended_(length_ == 0),
      ended_cleanly_(ended_) {}

result<std::size_t> request_body::Read(std::span<char> buffer) {
  if (ended_)
    return std::size_t{0};
  if (length_ && *length_ > limit_)
    return MakeError(result_code::kBodyTooLarge);
  const auto got = reader_.Read(buffer);
  if (!got) {
    return MakeError(buffer_.late() ? result_code::kRequestTooSlow
                                    : result_code::kMalformedRequest,
                     "the body is not whole");
  }
  taken_ += got.value();
  if (taken_ > limit_)
    return MakeError(result_code::kBodyTooLarge);
  ended_ = got.value() == 0 || taken_ == length_;
  // Bytes that were read beyond the body are a next request, which would be
  // lost: such a connection ends here.
  ended_cleanly_ = ended_ && buffer_.in_avail() <= 0;
  return got.value();
}

}  // namespace samphire
