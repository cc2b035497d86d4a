#ifndef TARGET_REQUEST_ORDER_H_
#define TARGET_REQUEST_ORDER_H_

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// What a request asks of the stand-in through its headers.
struct request_order {
  std::string id;
  std::string key;
  std::uint64_t bytes = 0;
  // Send only this many bytes of the body, then break the connection.
  std::optional<std::uint64_t> truncate;
  std::optional<milliseconds> sleep;
  std::optional<milliseconds> deadline;
  bool crash = false;
  // Announce no length, so that only the end of the chunks shows the whole.
  bool chunked = false;
};

request_order ReadRequestOrder(const Poco::Net::HTTPRequest& request);

}  // namespace samphire

#endif  // TARGET_REQUEST_ORDER_H_
