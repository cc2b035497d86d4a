#ifndef TRAFFIC_TRAFFIC_REQUEST_H_
#define TRAFFIC_TRAFFIC_REQUEST_H_

#include <Poco/Net/NameValueCollection.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/request_fingerprint.h"
#include "routing/traffic_manifest.h"
#include "traffic/sending/outgoing_body.h"

namespace samphire {

// One caller's request with its route, team and deadline.
struct traffic_request {
  // The configuration in force when the request arrived. Keeps `route` and
  // `team` alive.
  manifest_ptr manifest;
  const traffic_route* route = nullptr;
  // Null if the route or the manifest requires no API key.
  const traffic_team* team = nullptr;
  std::string api_key;
  // Regions whose targets may run the request; any region if empty.
  std::vector<std::string> home_regions;

  // The caller's id for the request; empty if it sent none.
  std::string id;
  std::string method;
  // Includes the query.
  std::string path;
  Poco::Net::NameValueCollection headers;
  outgoing_body body;

  // Whether another entry sent the request, which makes the attempt through
  // this one. Its headers are then those for the target already.
  bool from_peer = false;

  // Equal for requests of the same caller that ask for the same.
  request_fingerprint fingerprint = 0;
  // Hash of the route and the affinity key, by which targets and owners of keys
  // are chosen.
  std::uint64_t key_hash = 0;
  time_point arrived;
  // The time by which the response must be sent: the caller's timeout or the
  // route's, whichever ends first.
  time_point deadline;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_REQUEST_H_
