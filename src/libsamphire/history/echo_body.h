#ifndef HISTORY_ECHO_BODY_H_
#define HISTORY_ECHO_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "history/history_event.h"

namespace samphire {

// First line of the body of a simulated target's answer. It identifies the
// request and run; filler bytes follow that can be computed from the request
// id. A caller can thus tell its own complete answer from any other bytes.
struct echo_header {
  std::string request_id;
  // "SERVICE/NAME".
  std::string target;
  std::int64_t run = 0;
  // When the target took the reading that the answer stands for.
  history_time measured_us = 0;
  // Number of filler bytes that follow.
  std::int64_t bytes = 0;
};

// Returns the header as one line of JSON, including the line end.
std::string EncodeEchoHeader(const echo_header& header);
// Returns nothing if the line is not a valid header.
std::optional<echo_header> DecodeEchoHeader(std::string_view line);

// Returns the filler bytes [offset, offset + size) of a request. Pure, so that
// any part of the filler can be computed alone.
std::string EchoFiller(std::string_view request_id,
                       std::uint64_t offset,
                       std::size_t size);

}  // namespace samphire

#endif  // HISTORY_ECHO_BODY_H_
