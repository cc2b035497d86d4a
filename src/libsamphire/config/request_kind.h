#ifndef CONFIG_REQUEST_KIND_H_
#define CONFIG_REQUEST_KIND_H_

#include "base/enum_names.h"

namespace samphire {

// The kind of work a request causes. Bulk requests (long downloads) are queued
// and allotted slots separately, so that they do not delay interactive
// requests.
enum class request_kind { kInteractive, kBulk };

inline constexpr enum_names<request_kind, 2> kRequestKindNames{{
    {request_kind::kInteractive, "interactive"},
    {request_kind::kBulk, "bulk"},
}};

}  // namespace samphire

#endif  // CONFIG_REQUEST_KIND_H_
