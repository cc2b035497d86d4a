#include "front/request_body.h"

namespace samphire {

namespace {

// Returns the body's length in bytes if the head declares it.
std::optional<std::uint64_t> DeclaredLength(const body_framing& framing) {
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
      length_(DeclaredLength(framing)),
      limit_(limit),
      ended_(length_ == 0),
      ended_without_excess_(ended_) {}

result<std::size_t> request_body::Read(std::span<char> buffer) {
  if (ended_)
    return std::size_t{0};
  if (length_ && *length_ > limit_)
    return MakeError(result_code::kBodyTooLarge);
  const auto read_result = reader_.Read(buffer);
  if (!read_result) {
    return MakeError(buffer_.failure(), "request body incomplete");
  }
  bytes_read_ += read_result.value();
  if (bytes_read_ > limit_)
    return MakeError(result_code::kBodyTooLarge);
  ended_ = read_result.value() == 0 || bytes_read_ == length_;
  // Bytes read beyond the body belong to a pipelined request, which would be
  // lost in this buffer, so the connection must not be kept alive.
  ended_without_excess_ = ended_ && buffer_.in_avail() <= 0;
  return read_result.value();
}

}  // namespace samphire
