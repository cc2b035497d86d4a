#ifndef PROXY_EXCHANGE_OPTIONS_H_
#define PROXY_EXCHANGE_OPTIONS_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// How one exchange deals with the other side.
struct exchange_options {
  // A target on the same or the next site answers a connection in about 1 ms;
  // a longer wait only delays the attempt on another target.
  milliseconds connect_timeout{500};
  // Whether an answer may end with its connection instead of telling its
  // length. A cut one can then be known by a reset only.
  bool accept_unframed = false;
  // Where the other side echoes the request's id: the header's name. An answer
  // with another id is a late one to an earlier request and is passed over.
  std::string echo_header;
  std::string echo_value;
};

}  // namespace samphire

#endif  // PROXY_EXCHANGE_OPTIONS_H_
