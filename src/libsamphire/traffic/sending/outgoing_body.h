#ifndef TRAFFIC_SENDING_OUTGOING_BODY_H_
#define TRAFFIC_SENDING_OUTGOING_BODY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

#include "base/result.h"
#include "proxy/body_source.h"
#include "traffic/sending/body_state.h"

namespace samphire {

class outgoing_body;

// The part of a body that is not buffered, on its way to one receiver. Valid
// for as long as its body, which must not be moved meanwhile.
class body_rest final : public body_source {
 public:
  body_rest(body_rest&&) = default;
  body_rest& operator=(body_rest&&) = default;
  body_rest(const body_rest&) = delete;
  body_rest& operator=(const body_rest&) = delete;

  // Fails like the source that the body was made with.
  result<std::size_t> Read(std::span<char> buffer) override;

 private:
  friend class outgoing_body;
  explicit body_rest(outgoing_body& body) : body_(&body) {}

  outgoing_body* body_;
};

// The body of a request, owned by the request and asked by whatever sends it.
// The rest of a long body can be taken once, so that no second receiver gets
// what a first one has left. Used by the thread that handles the request.
class outgoing_body {
 public:
  // Called before the rest is taken; if it fails, the rest stays where it is.
  using permission = std::function<result<void>()>;

  // An empty body.
  outgoing_body() = default;
  // A body that is buffered whole.
  explicit outgoing_body(std::string whole);
  // A body that begins with `start`; `rest` supplies what follows and must
  // outlive it. `length` is that of the whole body in bytes, if declared.
  outgoing_body(std::string start,
                body_source& rest,
                std::optional<std::uint64_t> length);
  outgoing_body(outgoing_body&&) = default;
  outgoing_body& operator=(outgoing_body&&) = default;
  outgoing_body(const outgoing_body&) = delete;
  outgoing_body& operator=(const outgoing_body&) = delete;

  body_state state() const { return state_; }
  // The whole body if it is buffered, else its first part.
  const std::string& start() const { return start_; }
  // Whether a receiver that gets the body now gets all of it.
  bool CanBeSent() const;
  // Length of the whole body in bytes; nothing if it was not declared and the
  // end was not read.
  std::optional<std::uint64_t> length() const { return length_; }
  // The same, or the bytes that are known of so far.
  std::uint64_t known_bytes() const { return length_.value_or(start_.size()); }

  void SetPermission(permission ask) { ask_ = std::move(ask); }
  // Returns what follows start(); nothing if that is all. Fails with kBodySpent
  // if an earlier send has taken it, or as the permission does.
  result<std::optional<body_rest>> TakeRest();

 private:
  friend class body_rest;

  std::string start_;
  body_source* rest_ = nullptr;
  std::optional<std::uint64_t> length_ = 0;
  body_state state_ = body_state::kBuffered;
  // Bytes of the rest that were read.
  std::uint64_t rest_bytes_ = 0;
  permission ask_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_OUTGOING_BODY_H_
