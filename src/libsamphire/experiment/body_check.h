#ifndef EXPERIMENT_BODY_CHECK_H_
#define EXPERIMENT_BODY_CHECK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "history/answer_body.h"
#include "history/echo_body.h"

namespace samphire {

// Validates the body of a target's answer (see echo_header) as it arrives;
// keeps only the first line, not the filler bytes. One object checks one body.
// Not synchronized: used by one thread at a time.
class body_check {
 public:
  // Takes the next bytes of the body, in pieces of any size.
  void Add(std::string_view bytes);

  // Classifies the bytes received so far as complete, truncated or corrupt.
  // `framing_complete` says that HTTP's own framing (length or last chunk) was
  // complete.
  answer_body Verdict(bool framing_complete) const;
  // The decoded first line; empty until it has arrived, or if it is invalid.
  const std::optional<echo_header>& header() const { return header_; }

 private:
  void AddFiller(std::string_view bytes);

  std::string first_line_;
  std::optional<echo_header> header_;
  // Filler bytes received so far.
  std::uint64_t filler_ = 0;
  bool corrupt_ = false;
};

}  // namespace samphire

#endif  // EXPERIMENT_BODY_CHECK_H_
