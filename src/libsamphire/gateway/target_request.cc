#include "gateway/target_request.h"

#include <algorithm>

#include "front/header_names.h"
#include "gateway/header_copy.h"

namespace samphire {

outgoing_request MakeTargetRequest(const caller_request& request,
                                   const std::string& address,
                                   time_point now) {
  outgoing_request out;
  out.address = address;
  out.head.setMethod(request.method);
  out.head.setURI(request.path);
  out.head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  CopyEndToEndHeaders(request.headers, out.head);
  out.head.set("Host", address);
  SetOnly(out.head, kHeaderRequestId, request.id);
  const auto left =
      std::max(milliseconds{1},
               std::chrono::floor<milliseconds>(request.deadline - now));
  out.head.set(kHeaderDeadline, std::to_string(left.count()));
  if (!request.body.empty() ||
      request.headers.has(Poco::Net::HTTPMessage::CONTENT_LENGTH)) {
    out.head.setContentLength(
        static_cast<std::streamsize>(request.body.size()));
  }
  out.head.setKeepAlive(true);
  out.body = request.body;
  out.deadline = request.deadline;
  if (!request.request_class->repeatable)
    out.connection = connection_use::kNew;
  return out;
}

}  // namespace samphire
