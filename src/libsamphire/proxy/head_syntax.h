#ifndef PROXY_HEAD_SYNTAX_H_
#define PROXY_HEAD_SYNTAX_H_

#include <string_view>

#include "base/result.h"

namespace samphire {

// Checks the head of a response as it was received, with the blank line that
// ends it, against the grammar of HTTP/1 (RFC 9112, status line and field
// lines). Obsolete line folding and lines that end without a carriage return
// count as errors. Fails with kTargetFailed. May be called from any thread.
result<void> CheckResponseHead(std::string_view head);

// Whether `line`, without its line end, is a field line: a token, a colon and a
// value without control characters.
bool IsFieldLine(std::string_view line);

// Whether `text` has no control characters but tabs.
bool IsFieldText(std::string_view text);

}  // namespace samphire

#endif  // PROXY_HEAD_SYNTAX_H_
