#ifndef CONFIG_REQUEST_KIND_H_
#define CONFIG_REQUEST_KIND_H_

#include "base/enum_names.h"

namespace samphire {

// Bulk work (long downloads) queues and holds slots apart from interactive
// work, so that it never delays it.
enum class request_kind { kInteractive, kBulk };

inline constexpr enum_names<request_kind, 2> kRequestKindNames{{
    {request_kind::kInteractive, "interactive"},
    {request_kind::kBulk, "bulk"},
}};

}  // namespace samphire

#endif  // CONFIG_REQUEST_KIND_H_
