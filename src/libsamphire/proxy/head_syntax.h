#ifndef PROXY_HEAD_SYNTAX_H_
#define PROXY_HEAD_SYNTAX_H_

#include <string_view>

namespace samphire {

// The grammar of the lines of a head (RFC 9112), each without its line end.
// Where the grammar leaves a choice, a line that others may read in a second
// way is refused. All functions may be called from any thread.

// Whether `text` is a token: a method, or the name of a header.
bool IsToken(std::string_view text);

// Whether `text` can be the value of a header: no control characters but tabs.
// Bytes above 0x7f are allowed.
bool IsFieldText(std::string_view text);

// Whether `line` is a field line: a token, a colon and a value. Folded lines
// and those with a space before the colon are not.
bool IsFieldLine(std::string_view line);

// Whether `target` is a path with an optional query, or the asterisk of
// OPTIONS, in visible ASCII characters.
bool IsRequestTarget(std::string_view target);

// Whether `line` is a request line of HTTP/1.0 or HTTP/1.1 with such a target.
bool IsRequestLine(std::string_view line);

// Whether `line` is the status line of an HTTP/1 response, with a status from
// 100 to 599. The reason may be missing.
bool IsStatusLine(std::string_view line);

// Whether `text`, the beginning of a status line, can become a whole one.
bool CanBeginStatusLine(std::string_view text);

}  // namespace samphire

#endif  // PROXY_HEAD_SYNTAX_H_
