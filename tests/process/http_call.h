#ifndef TESTS_PROCESS_HTTP_CALL_H_
#define TESTS_PROCESS_HTTP_CALL_H_

#include <map>
#include <string>

namespace samphire {

// The response of a server; status 0 if there was none.
struct http_reply {
  int status = 0;
  std::string body{};
  std::map<std::string, std::string> headers{};
};

// A request; `address` is an IP:PORT.
struct http_call {
  std::string method = "GET";
  std::string address;
  std::string path;
  std::string body{};
  std::map<std::string, std::string> headers{};
};

// Makes one call on a new connection and blocks until it is complete.
// Thread-safe. Returns status 0 on a network error or timeout, without
// throwing.
http_reply Call(const http_call& call);

}  // namespace samphire

#endif  // TESTS_PROCESS_HTTP_CALL_H_
