#ifndef EXPERIMENT_BODY_CHECK_H_
#define EXPERIMENT_BODY_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "history/answer_body.h"
#include "history/echo_body.h"

namespace samphire {

// Judges the bytes of an answer as they arrive, without keeping them.
class body_check {
 public:
  void Add(std::string_view bytes);

  // What the bytes so far are. `framing_whole` says that HTTP's own framing
  // (length or last chunk) was complete.
  answer_body Verdict(bool framing_whole) const;
  const std::optional<echo_header>& header() const { return header_; }

 private:
  void AddFiller(std::string_view bytes);

  std::string first_line_;
  std::optional<echo_header> header_;
  std::uint64_t filler_ = 0;
  bool corrupt_ = false;
};

}  // namespace samphire

#endif  // EXPERIMENT_BODY_CHECK_H_
