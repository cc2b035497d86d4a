#include "traffic/sending/outgoing_body.h"

#include <utility>

namespace samphire {

result<std::size_t> body_rest::Read(std::span<char> buffer) {
  BOOST_OUTCOME_TRY(bytes, body_->rest_->Read(buffer));
  body_->rest_bytes_ += bytes;
  if (bytes == 0) {
    body_->state_ = body_state::kEnded;
    body_->length_ = body_->start_.size() + body_->rest_bytes_;
  }
  return bytes;
}

outgoing_body::outgoing_body(std::string whole)
    : start_(std::move(whole)), length_(start_.size()) {}

outgoing_body::outgoing_body(std::string start,
                             body_source& rest,
                             std::optional<std::uint64_t> length)
    : start_(std::move(start)),
      rest_(&rest),
      length_(length),
      state_(body_state::kUnread) {}

bool outgoing_body::CanBeSent() const {
  return state_ == body_state::kBuffered || state_ == body_state::kUnread;
}

result<std::optional<body_rest>> outgoing_body::TakeRest() {
  if (!CanBeSent())
    return MakeError(result_code::kBodySpent);
  if (state_ == body_state::kBuffered)
    return std::optional<body_rest>();
  if (ask_) {
    BOOST_OUTCOME_TRYV(ask_());
  }
  state_ = body_state::kTaken;
  return std::optional(body_rest(*this));
}

}  // namespace samphire
