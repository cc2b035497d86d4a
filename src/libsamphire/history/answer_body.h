#ifndef HISTORY_ANSWER_BODY_H_
#define HISTORY_ANSWER_BODY_H_

#include "base/enum_names.h"

namespace samphire {

// What a caller found in the bytes of an answer.
enum class answer_body {
  // The target's whole answer.
  kWhole,
  // Bytes are missing, and the caller's HTTP library can tell.
  kTruncated,
  // Looks whole, but bytes are missing or are not those of the target.
  kCorrupt,
  // A refusal, which holds no answer of a target.
  kRefusal,
  // The connection ended without any answer.
  kLost,
  // No connection could be made.
  kUnconnected,
  // The caller waited no longer.
  kAbandoned,
};

inline constexpr enum_names<answer_body, 7> kAnswerBodyNames{{
    {answer_body::kWhole, "whole"},
    {answer_body::kTruncated, "truncated"},
    {answer_body::kCorrupt, "corrupt"},
    {answer_body::kRefusal, "refusal"},
    {answer_body::kLost, "lost"},
    {answer_body::kUnconnected, "unconnected"},
    {answer_body::kAbandoned, "abandoned"},
}};

}  // namespace samphire

#endif  // HISTORY_ANSWER_BODY_H_
