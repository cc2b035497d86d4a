#include "proxy/head_reader.h"

#include <string_view>

#include "proxy/head_text.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

error NoHead(head_progress progress) {
  switch (progress) {
    case head_progress::kTooLong:
      return MakeError(result_code::kTargetFailed, "the head is too long");
    case head_progress::kMalformed:
      return MakeError(result_code::kTargetFailed, "not an HTTP response");
    default:
      return MakeError(result_code::kTargetFailed, "the head broke off");
  }
}

}  // namespace

// A connection may end within the head, which is no answer then, not a complete
// one without a body.
result<void> ReadResponseHead(std::istream& input,
                              Poco::Net::HTTPResponse& head) {
  head_text text(head_kind::kResponse, kMaxResponseHeadBytes);
  while (text.progress() == head_progress::kIncomplete) {
    const int next = input.get();
    if (next == std::char_traits<char>::eof())
      break;
    const char byte = static_cast<char>(next);
    text.Take({&byte, 1});
  }
  if (text.progress() != head_progress::kComplete)
    return NoHead(text.progress());
  SetFromHead(text, head);
  return Success();
}

}  // namespace samphire
