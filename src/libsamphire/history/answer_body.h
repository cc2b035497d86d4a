#ifndef HISTORY_ANSWER_BODY_H_
#define HISTORY_ANSWER_BODY_H_

#include "base/enum_names.h"

namespace samphire {

// What a caller received as the body of a response. The names are stored in
// histories.
enum class answer_body {
  // The complete answer of a target.
  kComplete,
  // Bytes are missing, and HTTP framing shows it, so that the caller's HTTP
  // library can report it.
  kTruncated,
  // Looks complete by HTTP framing, but bytes are missing or differ from those
  // of the target.
  kCorrupt,
  // A refusal, which contains no answer of a target.
  kRefusal,
  // The connection ended before any response.
  kLost,
  // No connection could be established.
  kNoConnection,
  // The caller stopped waiting and closed the connection.
  kAbandoned,
};

inline constexpr enum_names<answer_body, 7> kAnswerBodyNames{{
    {answer_body::kComplete, "whole"},
    {answer_body::kTruncated, "truncated"},
    {answer_body::kCorrupt, "corrupt"},
    {answer_body::kRefusal, "refusal"},
    {answer_body::kLost, "lost"},
    {answer_body::kNoConnection, "unconnected"},
    {answer_body::kAbandoned, "abandoned"},
}};

}  // namespace samphire

#endif  // HISTORY_ANSWER_BODY_H_
