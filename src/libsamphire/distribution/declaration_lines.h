#ifndef DISTRIBUTION_DECLARATION_LINES_H_
#define DISTRIBUTION_DECLARATION_LINES_H_

#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/declaration.h"
#include "distribution/line_tree.h"

namespace samphire {

// A declaration as two sets of lines: the client blocks, of which there may be
// millions, and the frame, which is everything else. The order of lists is not
// kept, as it means nothing.
std::vector<keyed_line> BlockLines(const std::vector<client_block>& blocks);
std::vector<keyed_line> FrameLines(const declaration& declared);

// Reads a block's line; kStoreCorrupt if it is not one.
result<client_block> ReadBlockLine(std::string_view line);
// Reads the frame's lines; the declaration has no client blocks.
result<declaration> ReadFrame(const std::vector<std::string_view>& lines);

}  // namespace samphire

#endif  // DISTRIBUTION_DECLARATION_LINES_H_
