#include "experiment/body_check.h"

namespace samphire {

namespace {

// A first line longer than any that a target writes is none.
constexpr std::size_t kMaxFirstLine = 4096;

}  // namespace

void body_check::Add(std::string_view bytes) {
  if (header_) {
    AddFiller(bytes);
    return;
  }
  const auto end = bytes.find('\n');
  first_line_ += bytes.substr(0, end);
  if (first_line_.size() > kMaxFirstLine)
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

answer_body body_check::Verdict(bool framing_whole) const {
  const bool complete = header_ && !corrupt_ &&
                        filler_ == static_cast<std::uint64_t>(header_->bytes);
  if (complete && framing_whole)
    return answer_body::kWhole;
  // Wrong bytes are worse than missing ones: a caller may have used them.
  if (framing_whole || corrupt_)
    return answer_body::kCorrupt;
  return answer_body::kTruncated;
}

}  // namespace samphire
