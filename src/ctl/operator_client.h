#ifndef CTL_OPERATOR_CLIENT_H_
#define CTL_OPERATOR_CLIENT_H_

#include <string>
#include <vector>

#include "base/clock_source.h"
#include "ctl/ctl_call.h"
#include "ctl/ctl_response.h"

namespace samphire {

// HTTP client of the operator protocol. Calls the entries at `urls` in turn
// until one responds, each in a connection of its own. Calls block and do not
// throw on network errors. Const calls may run concurrently, as the client
// holds no connection.
class operator_client {
 public:
  // An empty `token` sends no Authorization header. `timeout` limits each
  // connect, send and receive operation, not the call as a whole.
  operator_client(std::vector<std::string> urls,
                  std::string token,
                  milliseconds timeout);

  // Sends a call that changes nothing. Moves on to the next entry if one fails
  // or responds with an error that is worth retrying.
  ctl_response Read(const ctl_call& call) const;
  // Sends a call that changes something. Moves on to the next entry only if the
  // call was certainly not executed; once it may have been, no other entry is
  // called.
  ctl_response Change(const ctl_call& call) const;

  // Returns a copy of this client that calls the entry at `url` last.
  operator_client WithUrlLast(const std::string& url) const;

 private:
  ctl_response CallEntry(const std::string& url, const ctl_call& call) const;
  ctl_response Send(const std::string& url, const ctl_call& call) const;

  std::vector<std::string> urls_;
  std::string token_;
  milliseconds timeout_;
};

}  // namespace samphire

#endif  // CTL_OPERATOR_CLIENT_H_
