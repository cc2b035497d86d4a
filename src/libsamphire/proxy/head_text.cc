#include "proxy/head_text.h"

#include <algorithm>

#include "proxy/head_syntax.h"

namespace samphire {

namespace {

// Whether the byte can stand before a line feed. A carriage return within a
// line is found when the line is complete.
bool CanStandInLine(char byte) {
  return byte == '\r' || IsFieldText({&byte, 1});
}

}  // namespace

head_text::head_text(head_kind kind, std::size_t max_bytes)
    : kind_(kind), max_bytes_(max_bytes) {}

std::size_t head_text::Take(std::string_view bytes) {
  std::size_t taken = 0;
  while (taken < bytes.size() && progress_ == head_progress::kIncomplete)
    TakeByte(bytes[taken++]);
  return taken;
}

void head_text::TakeByte(char byte) {
  if (text_.size() >= max_bytes_) {
    progress_ = head_progress::kTooLong;
    return;
  }
  text_.push_back(byte);
  if (byte == '\n') {
    EndLine();
    return;
  }
  const bool is_impossible_status = kind_ == head_kind::kResponse &&
                                    line_begin_ == 0 &&
                                    !CanBeginStatusLine(text_);
  if (is_impossible_status || !CanStandInLine(byte))
    progress_ = head_progress::kMalformed;
}

// A line that ends without a carriage return is refused: others take it for a
// part of the next one.
void head_text::EndLine() {
  auto line = std::string_view(text_).substr(line_begin_);
  const bool has_end = line.ends_with("\r\n");
  line.remove_suffix(std::min(line.size(), std::size_t{2}));
  if (has_end && line.empty()) {
    EndEmptyLine();
  } else if (!has_end || !IsSoundLine(line)) {
    progress_ = head_progress::kMalformed;
  } else if (fields_ > kMaxFields) {
    progress_ = head_progress::kTooLong;
  } else {
    ++fields_;
    line_begin_ = text_.size();
  }
}

// One empty line before a request is skipped (RFC 9112, message parsing): some
// callers send it behind a body.
void head_text::EndEmptyLine() {
  if (line_begin_ > 0) {
    progress_ = head_progress::kComplete;
  } else if (kind_ == head_kind::kRequest && !skipped_empty_line_) {
    skipped_empty_line_ = true;
    text_.clear();
  } else {
    progress_ = head_progress::kMalformed;
  }
}

bool head_text::IsSoundLine(std::string_view line) const {
  if (line_begin_ > 0)
    return IsFieldLine(line);
  return kind_ == head_kind::kRequest ? IsRequestLine(line)
                                      : IsStatusLine(line);
}

}  // namespace samphire
