#ifndef TESTS_PLATFORM_ADAPTER_UPLOAD_CALL_H_
#define TESTS_PLATFORM_ADAPTER_UPLOAD_CALL_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire::platform {

// How a caller delimits a body.
enum class upload_framing { kLength, kChunks };

// A POST whose body is made from its id and size.
struct upload_call {
  std::string id;
  std::string affinity_key = "17";
  upload_framing framing = upload_framing::kLength;
  std::size_t bytes = 0;
  // The number of body bytes after which the caller closes its connection;
  // negative for never.
  std::int64_t leaves_after = -1;
  std::string path = "/write/upload";
  // Further header lines, with their line ends.
  std::string lines;
  // Bytes that the caller sends after `leaves_after` bytes of the body in place
  // of the rest, whatever its framing.
  std::string breaks_off_with;
  // Whether the caller then waits for a response; else it leaves.
  bool waits = false;
  // The time that the caller allows, in milliseconds.
  int deadline_ms = 4000;
};

// Returns the body of the call.
std::string BodyOf(const upload_call& call);

// Sends the call on a new connection to IP:PORT. Returns the HTTP status of the
// response; 0 if there was none. `stamp` receives the stamp of the response.
int SendUpload(const std::string& address,
               const upload_call& call,
               std::string* stamp = nullptr);

}  // namespace samphire::platform

#endif  // TESTS_PLATFORM_ADAPTER_UPLOAD_CALL_H_
