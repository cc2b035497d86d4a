#ifndef REVIEW_STAND_INS_CLIENT_H_
#define REVIEW_STAND_INS_CLIENT_H_

#include <chrono>
#include <string>

#include "http_connection.h"
#include "record.h"

namespace review {

// How a body is sent.
enum class body_encoding { kLength, kChunked };

// One client attempt.
struct client_request {
  std::string id;
  std::string method = "GET";
  std::string path;
  std::string affinity_key;
  std::string body;
  body_encoding encoding = body_encoding::kLength;
  std::chrono::milliseconds time_limit{4000};
};

// What a client got.
struct client_answer {
  // 0 if the connection ended, or the time limit passed, without a complete
  // answer.
  int status = 0;
  // Id of the worker that ran the request; empty if none answered.
  std::string worker;
  std::string body;
  std::chrono::milliseconds took{0};
  // Whether the connection was closed, or refused, instead of an answer.
  bool closed = false;
  // Whether there was a connection to send the request on.
  bool sent = true;
};

// Sends one request on a connection and waits for its answer.
client_answer SendOn(http_connection& connection,
                     const client_request& request,
                     record& events);
// The same, on a new connection to a machine's `front` address.
client_answer SendTo(const std::string& front,
                     const client_request& request,
                     record& events);

}  // namespace review

#endif  // REVIEW_STAND_INS_CLIENT_H_
