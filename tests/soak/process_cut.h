#ifndef TESTS_SOAK_PROCESS_CUT_H_
#define TESTS_SOAK_PROCESS_CUT_H_

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <string>
#include <vector>

#include "support/cut_links.h"

namespace samphire {

// Cuts the links of one process to targets, while others reach them. The
// process must have been started with `environment()`. Not thread-safe.
class process_cut {
 public:
  // `file` holds the order to the process. `targets` are addresses.
  process_cut(std::string file, const std::vector<std::string>& targets);

  // Variables of the environment, as NAME=VALUE.
  std::vector<std::string> environment() const;
  void Apply(link_cut cut) const;

 private:
  const std::string file_;
  std::string target_ports_;
  // A listener that takes no connection, since its queue is full, and one on
  // whose connections nothing ever arrives.
  Poco::Net::ServerSocket full_;
  Poco::Net::ServerSocket silent_;
  std::vector<Poco::Net::StreamSocket> queued_;
};

}  // namespace samphire

#endif  // TESTS_SOAK_PROCESS_CUT_H_
