#ifndef TESTS_PLATFORM_ADAPTER_WIRE_TEXT_H_
#define TESTS_PLATFORM_ADAPTER_WIRE_TEXT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire::platform {

// Returns the JSON of a target object as the platform's store sends it: a warm
// target with four slots in failure domain "a-1".
std::string TargetObject(const std::string& address,
                         const std::string& service,
                         const std::string& state = "ready");

// Returns the same for a target with another number of slots.
std::string WideTargetObject(const std::string& address,
                             const std::string& service,
                             int slots);

// Whether a status states that the request did not run and never will.
bool GuaranteesNotRun(int status);

// Returns the JSON of a manifest with one host, "h.example". Its route "/read/"
// is idempotent and leads to service "reads"; its route "/write/" is not and
// leads to service "writes". `version` is hexadecimal.
std::string ManifestObject(const std::string& version);
// Returns the same manifest with another time-out of both routes.
std::string TimedManifestObject(const std::string& version,
                                std::chrono::milliseconds timeout);
// Returns the same manifest with a route "/upload/" to service "uploads" in
// addition, whose requests are long and must not be repeated.
std::string UploadManifestObject(const std::string& version);

// Returns the same manifest with two teams: "team-1" with API keys "key-1" and
// "key-2", and "team-2" with API key "key-3" and home region "b". If
// `anonymous_reads` is set, "/read/" needs no API key.
std::string TeamManifestObject(const std::string& version,
                               bool anonymous_reads = false);

// Returns the value of a header of a message head; empty if there is none.
std::string HeaderOf(const std::string& head, const std::string& name);

// Returns `text` with the first occurrence of `what` replaced by `by`. Throws
// std::invalid_argument if there is none.
std::string Replaced(std::string text,
                     const std::string& what,
                     const std::string& by);

// What a manifest of many routes holds, for CrowdedManifestObject().
struct crowded_manifest {
  std::uint64_t version = 1;
  std::size_t routes = 0;
  // The routes before this position have the time-out of the second variant.
  std::size_t changed_routes = 0;
  // Whether all routes are of one host; otherwise each has one of its own.
  bool one_host = false;
};

// Returns a manifest with many routes to the service "reads". The route at
// position N has the prefix "/rN/" and the host "hN.example", or "h.example".
std::string CrowdedManifestObject(const crowded_manifest& content);

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_WIRE_TEXT_H_
