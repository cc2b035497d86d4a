#ifndef TESTS_PROCESS_HTTP_CALL_H_
#define TESTS_PROCESS_HTTP_CALL_H_

#include <map>
#include <string>

namespace samphire {

// What a server answered; status 0 when nothing came.
struct http_reply {
  int status = 0;
  std::string body{};
  std::map<std::string, std::string> headers{};
};

struct http_call {
  std::string method = "GET";
  std::string address;
  std::string path;
  std::string body{};
  std::map<std::string, std::string> headers{};
};

// Makes one call on a connection of its own.
http_reply Call(const http_call& call);

}  // namespace samphire

#endif  // TESTS_PROCESS_HTTP_CALL_H_
