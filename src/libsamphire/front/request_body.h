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

// Body of a request, read as it arrives from the caller. Used only by the
// thread of its connection.
class request_body final : public body_source {
 public:
  // Allows at most `limit` bytes, all of which must arrive before `deadline`.
  request_body(front_session& session,
               const body_framing& framing,
               std::uint64_t limit,
               time_point deadline);

  // Fails with kBodyTooLarge over the limit, kRequestTooSlow after the
  // deadline, kEntryLeaving if the entry ends before, and kMalformedRequest if
  // the body breaks off or its framing is invalid.
  result<std::size_t> Read(std::span<char> buffer) override;

  void set_deadline(time_point deadline) { buffer_.set_deadline(deadline); }
  // Length in bytes, if the request head declares it.
  std::optional<std::uint64_t> length() const { return length_; }
  // Whether the body was read to its end.
  bool ended() const { return ended_; }
  // Whether the body was read to its end and no byte beyond it was read from
  // the connection.
  bool ended_without_excess() const { return ended_without_excess_; }

 private:
  session_input_buf buffer_;
  std::istream input_;
  body_reader reader_;
  std::optional<std::uint64_t> length_;
  const std::uint64_t limit_;
  std::uint64_t bytes_read_ = 0;
  bool ended_ = false;
  bool ended_without_excess_ = false;
};

}  // namespace samphire

#endif  // FRONT_REQUEST_BODY_H_
