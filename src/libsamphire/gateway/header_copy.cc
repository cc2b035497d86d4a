#include "gateway/header_copy.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <set>

#include "proxy/message_head.h"

namespace samphire {

namespace {

// Lower-case names of the headers that apply to one connection, or that the
// entry sets itself for each message that it sends.
constexpr std::array kHopByHop = {"connection",
                                  "keep-alive",
                                  "proxy-connection",
                                  "proxy-authenticate",
                                  "proxy-authorization",
                                  "te",
                                  "trailer",
                                  "transfer-encoding",
                                  "upgrade",
                                  "content-length",
                                  "expect",
                                  "host"};

// Lower-case prefix of the entry's own headers.
const std::string kOwnPrefix = "samphirewinch-";

}  // namespace

void CopyEndToEndHeaders(const Poco::Net::NameValueCollection& from,
                         Poco::Net::NameValueCollection& to) {
  const auto options = ConnectionOptions(from);
  const std::set<std::string> named(options.begin(), options.end());
  std::set<std::string> replaced;
  for (const auto& [name, value] : from) {
    const auto lower = Poco::toLower(name);
    if (lower.starts_with(kOwnPrefix) || named.contains(lower) ||
        std::find(kHopByHop.begin(), kHopByHop.end(), lower) != kHopByHop.end())
      continue;
    // The first value replaces a default, such as that of Date; the values of a
    // repeated header are all kept.
    if (replaced.insert(lower).second)
      to.erase(name);
    to.add(name, value);
  }
}

void SetOnly(Poco::Net::NameValueCollection& headers,
             const std::string& name,
             const std::string& value) {
  headers.erase(name);
  headers.add(name, value);
}

}  // namespace samphire
