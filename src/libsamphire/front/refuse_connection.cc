#include "front/refuse_connection.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include "front/response_writer.h"

namespace samphire {

namespace {

// Bounds the time for which sending a refusal may block.
constexpr Poco::Timespan::TimeDiff kSendTimeoutUs = 100'000;

}  // namespace

void RefuseConnection(Poco::Net::StreamSocket caller,
                      const error& reason,
                      milliseconds retry_after,
                      lingering_closer& closer) {
  try {
    caller.setSendTimeout(Poco::Timespan(kSendTimeoutUs));
    const auto response_bytes =
        RenderRefusal(response_status{.code = reason.code,
                                      .retry_after = retry_after,
                                      .detail = reason.detail});
    caller.sendBytes(response_bytes.data(),
                     static_cast<int>(response_bytes.size()));
  } catch (const Poco::Exception&) {
    // The caller disconnected before the refusal was sent.
    return;
  }
  closer.Add(caller);
}

}  // namespace samphire
