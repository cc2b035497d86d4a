#ifndef PROXY_CONNECTION_USE_H_
#define PROXY_CONNECTION_USE_H_

#include "base/enum_names.h"

namespace samphire {

// Which connections a request may be sent on. The other side may have closed a
// connection that rested, so that the request has to be sent again.
enum class connection_use {
  // Any open connection.
  kAny,
  // One that carried a request a moment ago, or a new one.
  kRecent,
  // A new one.
  kNew,
};

inline constexpr enum_names<connection_use, 3> kConnectionUseNames{{
    {connection_use::kAny, "any"},
    {connection_use::kRecent, "recent"},
    {connection_use::kNew, "new"},
}};

}  // namespace samphire

#endif  // PROXY_CONNECTION_USE_H_
