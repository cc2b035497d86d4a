#ifndef TRAFFIC_SENDING_DISPATCH_PROGRESS_H_
#define TRAFFIC_SENDING_DISPATCH_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "traffic/sending/send_record.h"

namespace samphire {

// How far the attempts of one request have come.
struct dispatch_progress {
  std::uint32_t attempts = 0;
  // Id of the target of the last attempt.
  std::string last_target;
  // The last send of any attempt; nothing if there was none.
  std::optional<send_record> last_send;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_DISPATCH_PROGRESS_H_
