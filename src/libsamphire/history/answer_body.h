#ifndef HISTORY_ANSWER_BODY_H_
#define HISTORY_ANSWER_BODY_H_

#include "base/enum_names.h"

namespace samphire {

// What a caller found in the bytes of an answer.
enum class answer_body {
  // The target's whole answer.
  kWhole,
  // Fewer bytes than the answer announces, with or without a broken
  // connection.
  kTruncated,
  // Bytes that the target did not write.
  kCorrupt,
  // A refusal, which holds no answer of a target.
  kRefusal,
  // The connection ended without any answer.
  kLost,
  // No connection could be made.
  kUnconnected,
};

inline constexpr enum_names<answer_body, 6> kAnswerBodyNames{{
    {answer_body::kWhole, "whole"},
    {answer_body::kTruncated, "truncated"},
    {answer_body::kCorrupt, "corrupt"},
    {answer_body::kRefusal, "refusal"},
    {answer_body::kLost, "lost"},
    {answer_body::kUnconnected, "unconnected"},
}};

}  // namespace samphire

#endif  // HISTORY_ANSWER_BODY_H_
