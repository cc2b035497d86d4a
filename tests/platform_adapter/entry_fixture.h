#ifndef TESTS_PLATFORM_ADAPTER_ENTRY_FIXTURE_H_
#define TESTS_PLATFORM_ADAPTER_ENTRY_FIXTURE_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform_adapter/stand_in_platform.h"
#include "platform_adapter/wire_target.h"
#include "platform_entry.h"

namespace samphire::platform {

// Returns settings of an entry without start-up delays, on free local ports,
// with a team limit that may be exceeded by 20 requests. `store` is the address
// of the platform's store.
platform_settings TestSettings(const std::string& store);

// Returns the text of a settings file for an entry process with these settings:
// in failure domain "a-1" of region "a", killed `grace` after a signal to stop,
// with look-ups that may be used for `lookup_ttl`.
std::string SettingsText(const platform_settings& settings,
                         std::chrono::milliseconds grace,
                         std::chrono::milliseconds lookup_ttl);

// Starts an entry that is ready once it has read the store.
std::unique_ptr<platform_entry> StartEntry(
    const platform_settings& settings,
    const connection_opener& opener = tcp_connection_opener::Default());

// The parts of a response that tests check; `stamp` names the target that
// served it.
struct call_response {
  int status = 0;
  std::string body;
  std::string stamp;
  std::string retry_after;
};

// A request of a caller. `deadline` is the time left to it, in milliseconds.
struct call_request {
  std::string method = "GET";
  std::string path = "/read/x";
  std::string body;
  std::string deadline = "2000";
  std::string id = "id-1";
  std::string affinity_key = "17";
  std::vector<std::pair<std::string, std::string>> headers;
};

// Sends a request on a new connection to IP:PORT and waits for the response.
call_response SendCall(const std::string& address, const call_request& input);

// Whether the entry reports that it can serve callers.
bool IsReady(const platform_settings& settings);

// Whether the condition becomes true within 10 s.
bool Eventually(const std::function<bool()>& holds);

// One entry, a stand-in of the platform's store and four targets, two for each
// of the services "reads" and "writes".
struct test_setup {
  stand_in_platform stand_in;
  wire_target read_1{"i-read-1"};
  wire_target read_2{"i-read-2"};
  wire_target write_1{"i-write-1"};
  wire_target write_2{"i-write-2"};
  platform_settings settings = TestSettings(stand_in.address());
  std::unique_ptr<platform_entry> entry;

  test_setup();
  void Start() { entry = StartEntry(settings); }
  // Starts the entry and waits until it can serve callers.
  void StartReady();
  bool Ready() const { return IsReady(settings); }
  call_response Request(const call_request& input = {}) const {
    return SendCall(settings.traffic.caller_address, input);
  }
  call_response RequestWithKey(const std::string& key,
                               const std::string& path = "/read/x") const;
  // Returns the target of "reads" that sent the stamp.
  wire_target& TargetWithStamp(const std::string& stamp) {
    return stamp == "stamp.i-read-1" ? read_1 : read_2;
  }
};

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_ENTRY_FIXTURE_H_
