#ifndef GATEWAY_CALLER_REQUEST_H_
#define GATEWAY_CALLER_REQUEST_H_

#include <Poco/Net/NameValueCollection.h>

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "config/request_class.h"
#include "decision/request_fingerprint.h"
#include "gateway/deployment.h"

namespace samphire {

// One request of a caller, parsed and validated. Belongs to the thread that
// serves it.
struct caller_request {
  // The configuration under which the request is served; keeps `service` and
  // `request_class` alive.
  deployment_ptr deployment;
  const samphire::service* service = nullptr;
  const samphire::request_class* request_class = nullptr;

  // The caller's own request id if it is usable, otherwise one made by this
  // entry.
  std::string id;
  std::string method;
  // Path below the service, with the query.
  std::string path;
  Poco::Net::NameValueCollection headers;
  std::string body;
  // Never empty for a request that may not be repeated.
  std::string idempotency_key;
  // Region that the caller's address belongs to.
  std::string home_region;
  time_point arrived;
  // Latest time at which the response is of use to the caller.
  time_point deadline;
  // Identifies equal requests to the quarantine; set together with the body.
  request_fingerprint fingerprint = 0;
  // Whether another entry forwarded the request here, so that it is not
  // forwarded again.
  bool forwarded = false;
};

}  // namespace samphire

#endif  // GATEWAY_CALLER_REQUEST_H_
