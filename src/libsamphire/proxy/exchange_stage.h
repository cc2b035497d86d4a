#ifndef PROXY_EXCHANGE_STAGE_H_
#define PROXY_EXCHANGE_STAGE_H_

#include "base/enum_names.h"

namespace samphire {

// Progress of one exchange with a target or peer. It determines what can be
// reported about the request: before kSending it can't have run.
enum class exchange_stage { kConnecting, kSending, kAwaitingHead, kReceiving };

inline constexpr enum_names<exchange_stage, 4> kExchangeStageNames{{
    {exchange_stage::kConnecting, "connecting"},
    {exchange_stage::kSending, "sending"},
    {exchange_stage::kAwaitingHead, "awaiting-head"},
    {exchange_stage::kReceiving, "receiving"},
}};

}  // namespace samphire

#endif  // PROXY_EXCHANGE_STAGE_H_
