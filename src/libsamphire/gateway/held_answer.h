#ifndef GATEWAY_HELD_ANSWER_H_
#define GATEWAY_HELD_ANSWER_H_

#include <Poco/Net/HTTPResponse.h>

#include <string>

namespace samphire {

// A whole answer short enough to be looked at before it is passed on.
struct held_answer {
  Poco::Net::HTTPResponse head;
  std::string body;
};

}  // namespace samphire

#endif  // GATEWAY_HELD_ANSWER_H_
