#include "experiment/body_check.h"

namespace samphire {

namespace {

// Bounds the bytes that are buffered while the end of the first line is
// missing. Longer than any first line that a target writes; a longer one is
// corrupt.
constexpr std::size_t kMaxFirstLineBytes = 4096;

}  // namespace

void body_check::Add(std::string_view bytes) {
  if (header_) {
    AddFiller(bytes);
    return;
  }
  const auto end = bytes.find('\n');
  first_line_ += bytes.substr(0, end);
  if (first_line_.size() > kMaxFirstLineBytes)
    corrupt_ = true;
  if (end == std::string_view::npos || corrupt_)
    return;
  header_ = DecodeEchoHeader(first_line_);
  if (header_)
    AddFiller(bytes.substr(end + 1));
  else
    corrupt_ = true;
}

void body_check::AddFiller(std::string_view bytes) {
  if (bytes != EchoFiller(header_->request_id, filler_, bytes.size()))
    corrupt_ = true;
  filler_ += bytes.size();
}

answer_body body_check::Verdict(bool framing_complete) const {
  const bool complete = header_ && !corrupt_ &&
                        filler_ == static_cast<std::uint64_t>(header_->bytes);
  if (complete && framing_complete)
    return answer_body::kComplete;
  // Corrupt takes precedence over truncated: a caller can detect missing bytes,
  // but may already have used wrong ones.
  if (framing_complete || corrupt_)
    return answer_body::kCorrupt;
  return answer_body::kTruncated;
}

}  // namespace samphire
