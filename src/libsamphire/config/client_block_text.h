#ifndef CONFIG_CLIENT_BLOCK_TEXT_H_
#define CONFIG_CLIENT_BLOCK_TEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "config/client_block.h"

namespace samphire {

// Reads "ADDRESS/LENGTH"; nothing if it is not one or if bits are set below
// the prefix.
std::optional<client_block> ParseClientBlock(std::string_view text);
std::string FormatClientBlock(const client_block& block);

}  // namespace samphire

#endif  // CONFIG_CLIENT_BLOCK_TEXT_H_
