#ifndef TRAFFIC_TRAFFIC_REQUEST_H_
#define TRAFFIC_TRAFFIC_REQUEST_H_

#include <Poco/Net/NameValueCollection.h>

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "routing/traffic_manifest.h"

namespace samphire {

// One caller's request, understood and read whole.
struct traffic_request {
  // Keeps `route` alive.
  manifest_ptr manifest;
  const traffic_route* route = nullptr;

  std::string id;
  std::string method;
  // With its query.
  std::string path;
  Poco::Net::NameValueCollection headers;
  std::string body;
  std::uint64_t key_hash = 0;
  time_point arrived;
  // The caller has its answer by then: its own time or the route's, whichever
  // ends first.
  time_point deadline;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_REQUEST_H_
