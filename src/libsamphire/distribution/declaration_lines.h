#ifndef DISTRIBUTION_DECLARATION_LINES_H_
#define DISTRIBUTION_DECLARATION_LINES_H_

#include <string_view>
#include <vector>

#include "base/result.h"
#include "config/declaration.h"
#include "distribution/line_tree.h"

namespace samphire {

// Converts a declaration to two sets of lines: the client blocks, of which
// there may be millions, and the frame, which is everything else. The order of
// lists isn't preserved, because it has no meaning.
std::vector<keyed_line> BlockLines(const std::vector<client_block>& blocks);
std::vector<keyed_line> FrameLines(const declaration& declared);

// Parses the line of a client block; returns kStoreCorrupt if it is malformed.
result<client_block> ReadBlockLine(std::string_view line);
// Parses the lines of a frame into a declaration without client blocks. Returns
// kStoreCorrupt for a malformed line, otherwise the errors of
// ReadAcceptedDeclaration.
result<declaration> ReadFrame(const std::vector<std::string_view>& lines);

}  // namespace samphire

#endif  // DISTRIBUTION_DECLARATION_LINES_H_
