#ifndef LEDGER_LEDGER_CODEC_H_
#define LEDGER_LEDGER_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "ledger/ledger_shard.h"

namespace samphire {

// Encodes a shard as the value of its object in the platform.
std::string EncodeShard(const ledger_shard& shard);
// Decodes the value of a shard's object. Returns kStoreCorrupt for any value
// that this format version did not write: a wrong magic number, version or
// checksum, malformed entries or a duplicate key.
result<ledger_shard> DecodeShard(std::string_view value);

}  // namespace samphire

#endif  // LEDGER_LEDGER_CODEC_H_
