#ifndef CONFIG_CLIENT_BLOCK_TEXT_H_
#define CONFIG_CLIENT_BLOCK_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "config/client_block.h"

namespace samphire {

// Parses "ADDRESS/LENGTH". Returns nothing if the text is malformed or if bits
// after the prefix are set. The region of the result is empty.
std::optional<client_block> ParseClientBlock(std::string_view text);
// Returns the block as "ADDRESS/LENGTH", which ParseClientBlock() accepts.
std::string FormatClientBlock(const client_block& block);

}  // namespace samphire

#endif  // CONFIG_CLIENT_BLOCK_TEXT_H_
