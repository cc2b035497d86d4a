#ifndef FRONT_REQUEST_BODY_H_
#define FRONT_REQUEST_BODY_H_

#include <cstdint>
#include <istream>
#include <optional>

#include "base/clock_source.h"
#include "front/front_session.h"
#include "front/session_input_buf.h"
#include "proxy/body_framing.h"
#include "proxy/body_reader.h"
#include "proxy/body_source.h"

namespace samphire {

// A request's body, read as the caller sends it.
class request_body final : public body_source {
 public:
  // At most `limit` bytes, all of them before `deadline`.
  request_body(front_session& session,
               const body_framing& framing,
               std::uint64_t limit,
               time_point deadline);

  // Fails with kMalformedRequest, kBodyTooLarge or kRequestTooSlow.
  result<std::size_t> Read(std::span<char> buffer) override;

  void set_deadline(time_point deadline) { buffer_.set_deadline(deadline); }
  // Where the caller told it before the first byte.
  std::optional<std::uint64_t> length() const { return length_; }
  // Read to its end.
  bool ended() const { return ended_; }
  // Read to its end, and no byte beyond it was taken from the connection.
  bool ended_cleanly() const { return ended_cleanly_; }

 private:
  session_input_buf buffer_;
  std::istream input_;
  body_reader reader_;
  std::optional<std::uint64_t> length_;
  const std::uint64_t limit_;
  std::uint64_t taken_ = 0;
  bool ended_ = false;
  bool ended_cleanly_ = false;
};

}  // namespace samphire

#endif  // FRONT_REQUEST_BODY_H_
