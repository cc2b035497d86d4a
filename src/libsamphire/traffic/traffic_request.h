#ifndef TRAFFIC_TRAFFIC_REQUEST_H_
#define TRAFFIC_TRAFFIC_REQUEST_H_

#include <Poco/Net/NameValueCollection.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "proxy/body_source.h"
#include "routing/traffic_manifest.h"

namespace samphire {

// One caller's request, understood.
struct traffic_request {
  // Keeps `route` alive.
  manifest_ptr manifest;
  const traffic_route* route = nullptr;
  // Null if the route or the manifest requires no API key.
  const traffic_team* team = nullptr;
  std::string api_key;
  // Regions whose targets may run the request; any if empty.
  std::vector<std::string> home_regions;

  std::string id;
  std::string method;
  // With its query.
  std::string path;
  Poco::Net::NameValueCollection headers;
  // The body, or the first part of a long one.
  std::string body;
  // Where the rest of a long body comes from, else null. It comes once, so
  // such a request can be sent once only.
  body_source* body_rest = nullptr;
  // Of the whole body, where the caller told it.
  std::optional<std::uint64_t> body_length;
  // Of the whole body; where its length isn't told, of what came first.
  std::uint64_t body_bytes() const { return body_length.value_or(body.size()); }

  std::uint64_t key_hash = 0;
  time_point arrived;
  // The caller has its answer by then: its own time or the route's, whichever
  // ends first.
  time_point deadline;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_REQUEST_H_
