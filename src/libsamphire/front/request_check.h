#ifndef FRONT_REQUEST_CHECK_H_
#define FRONT_REQUEST_CHECK_H_

#include <Poco/Net/HTTPRequest.h>

#include <initializer_list>
#include <string>

#include "base/result.h"
#include "proxy/body_framing.h"

namespace samphire {

// Checks what the headers of a request say together, before anything acts on
// it, and returns how its body ends. Fails with kMalformedRequest
// - if HTTP/1.1 lacks Host, or Host is repeated or no name of a host;
// - if the end of the body is in doubt: a transfer coding that is not just
//   chunked, or comes with a length or in HTTP/1.0; a length that is repeated
//   or not of digits;
// - if a header by which entries and targets act is repeated, or listed by
//   Connection;
// and with kBodyTooLarge if the length exceeds 64 bits. May be called from any
// thread.
result<body_framing> CheckRequest(const Poco::Net::HTTPRequest& request);

// Checks headers by which the entry acts, and which targets read as well. Fails
// with kMalformedRequest, and the name in the detail, if one of `names` is
// repeated, or listed by Connection. May be called from any thread.
result<void> CheckReadByBoth(const Poco::Net::HTTPRequest& request,
                             std::initializer_list<const std::string*> names);

}  // namespace samphire

#endif  // FRONT_REQUEST_CHECK_H_
