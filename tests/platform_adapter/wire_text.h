#ifndef TESTS_PLATFORM_ADAPTER_WIRE_TEXT_H_
#define TESTS_PLATFORM_ADAPTER_WIRE_TEXT_H_

#include <string>

namespace samphire::platform {

// Objects as the platform's store tells them.
std::string TargetObject(const std::string& address,
                         const std::string& service,
                         const std::string& state = "ready");

// One host, "h.example", whose "/read/" may be repeated and goes to "reads",
// and whose "/write/" may not and goes to "writes".
std::string ManifestObject(const std::string& version);

// The same manifest with two teams: "team-1" with API keys "key-1" and "key-2",
// and "team-2" with API key "key-3" and home region "b". If `anonymous_reads`
// is set, "/read/" needs no API key.
std::string TeamManifestObject(const std::string& version,
                               bool anonymous_reads = false);

// `text` with the first `what` replaced.
std::string Replaced(std::string text,
                     const std::string& what,
                     const std::string& by);

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_WIRE_TEXT_H_
