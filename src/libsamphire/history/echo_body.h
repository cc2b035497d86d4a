#ifndef HISTORY_ECHO_BODY_H_
#define HISTORY_ECHO_BODY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "history/history_event.h"

namespace samphire {

// The body of a stand-in target's answer: a first line that says whose answer
// it is, then filler that anyone can work out from the request id. So a caller
// can tell its own whole answer from any other bytes.
struct echo_header {
  std::string request_id;
  std::string target;
  std::int64_t run = 0;
  history_time measured_us = 0;
  std::int64_t bytes = 0;
};

// The first line, with its end.
std::string EncodeEchoHeader(const echo_header& header);
std::optional<echo_header> DecodeEchoHeader(std::string_view line);

// Filler bytes [offset, offset + size) for a request.
std::string EchoFiller(std::string_view request_id,
                       std::uint64_t offset,
                       std::size_t size);

}  // namespace samphire

#endif  // HISTORY_ECHO_BODY_H_
