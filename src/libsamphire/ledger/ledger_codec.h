#ifndef LEDGER_LEDGER_CODEC_H_
#define LEDGER_LEDGER_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "ledger/ledger_shard.h"

namespace samphire {

// The value of a shard's object, and back. Decoding refuses whatever this
// version did not write with kStoreCorrupt.
std::string EncodeShard(const ledger_shard& shard);
result<ledger_shard> DecodeShard(std::string_view value);

}  // namespace samphire

#endif  // LEDGER_LEDGER_CODEC_H_
