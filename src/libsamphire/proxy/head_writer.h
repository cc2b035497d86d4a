#ifndef PROXY_HEAD_WRITER_H_
#define PROXY_HEAD_WRITER_H_

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>

#include "base/result.h"

namespace samphire {

// Returns the head as it is sent, with the blank line at its end. Every head
// that is sent to a target, peer, store or caller is written here. Fails with
// kUnsendableHead, and has sent nothing, if the receiver could read anything
// else than was meant: a name that is no token, a value with a line break or
// another control character, a method, target or reason that ends its line, or
// a body with two lengths. May be called from any thread.
result<std::string> WriteHead(const Poco::Net::HTTPRequest& request);
// The same for a response.
result<std::string> WriteHead(const Poco::Net::HTTPResponse& response);

}  // namespace samphire

#endif  // PROXY_HEAD_WRITER_H_
