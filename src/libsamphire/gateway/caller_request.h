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

// One request of a caller, understood and checked.
struct caller_request {
  // Keeps `service` and `request_class` alive.
  deployment_ptr deployment;
  const samphire::service* service = nullptr;
  const samphire::request_class* request_class = nullptr;

  std::string id;
  std::string method;
  // Below the service, with its query.
  std::string path;
  Poco::Net::NameValueCollection headers;
  std::string body;
  std::string idempotency_key;
  std::string home_region;
  time_point arrived;
  time_point deadline;
  request_fingerprint fingerprint = 0;
  // Another entry passed it here, so it is not passed on again.
  bool passed = false;
};

}  // namespace samphire

#endif  // GATEWAY_CALLER_REQUEST_H_
