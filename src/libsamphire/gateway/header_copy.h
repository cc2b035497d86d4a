#ifndef GATEWAY_HEADER_COPY_H_
#define GATEWAY_HEADER_COPY_H_

#include <Poco/Net/NameValueCollection.h>

#include <string>

namespace samphire {

// Copies the end-to-end headers of a message: neither those that belong to one
// connection nor the entry's own, which a caller or target could forge.
void CopyEndToEndHeaders(const Poco::Net::NameValueCollection& from,
                         Poco::Net::NameValueCollection& to);

// Sets a header and removes all others of the name. NameValueCollection::set()
// replaces only the first one, and the receiver may read the last.
void SetOnly(Poco::Net::NameValueCollection& headers,
             const std::string& name,
             const std::string& value);

}  // namespace samphire

#endif  // GATEWAY_HEADER_COPY_H_
