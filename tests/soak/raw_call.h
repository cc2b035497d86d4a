#ifndef TESTS_SOAK_RAW_CALL_H_
#define TESTS_SOAK_RAW_CALL_H_

#include <string>

namespace samphire {

// What a caller sees of one request on a connection of its own.
struct raw_answer {
  // No connection could be made: nothing was read.
  bool refused = false;
  // The connection ended before a whole answer.
  bool broken = false;
  int status = 0;
  std::string body;
};

raw_answer CallRaw(const std::string& address,
                   const std::string& method,
                   const std::string& path,
                   const std::string& id,
                   const std::string& body);

}  // namespace samphire

#endif  // TESTS_SOAK_RAW_CALL_H_
