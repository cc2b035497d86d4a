#ifndef PROXY_HEAD_TEXT_H_
#define PROXY_HEAD_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace samphire {

enum class head_kind { kRequest, kResponse };

enum class head_progress {
  kIncomplete,
  kComplete,
  // What has arrived can't become a head.
  kMalformed,
  // The head exceeds its bounds.
  kTooLong,
};

// Collects the head of one message as it arrives, and checks each line once it
// is complete, so that bytes that are no head are given up early. Every head
// that is read passes through here, from callers, targets, peers and the store.
// Not thread-safe.
class head_text {
 public:
  // Bounds the header lines of a head, for whatever goes through them one by
  // one.
  static constexpr int kMaxFields = 1000;

  // `max_bytes` bounds the head with the blank line at its end.
  head_text(head_kind kind, std::size_t max_bytes);

  // Takes bytes up to the end of the head, and returns their number. Takes
  // nothing once progress() is other than kIncomplete.
  std::size_t Take(std::string_view bytes);

  head_progress progress() const { return progress_; }
  // What was taken so far; with kComplete the whole head as it was sent, each
  // line with its line end.
  const std::string& text() const { return text_; }

 private:
  void TakeByte(char byte);
  void EndLine();
  void EndEmptyLine();
  bool IsSoundLine(std::string_view line) const;

  const head_kind kind_;
  const std::size_t max_bytes_;
  std::string text_;
  // Where the line begins that is not complete.
  std::size_t line_begin_ = 0;
  int fields_ = 0;
  bool skipped_empty_line_ = false;
  head_progress progress_ = head_progress::kIncomplete;
};

}  // namespace samphire

#endif  // PROXY_HEAD_TEXT_H_
