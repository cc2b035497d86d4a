#include <fmt/format.h>

#include <chrono>

#include "config/declaration_reader.h"
#include "config/file_text.h"
#include "config/json_text.h"
#include "ctl/commands.h"

namespace samphire {

namespace {

// Returns one line with the number of items of each kind in a valid
// declaration.
std::string SummaryOf(const declaration& declared) {
  std::size_t targets = 0;
  for (const auto& one : declared.services)
    targets += one.targets.size();
  return fmt::format(
      "{}: valid; {} regions, {} services, {} targets, {} client blocks, {} "
      "shift caps, {} drains",
      declared.name, declared.regions.size(), declared.services.size(), targets,
      declared.client_blocks.size(), declared.shift_caps.size(),
      declared.drains.size());
}

}  // namespace

// Validates locally, without an entry, so that a file can be checked on the
// machine where it is written.
exit_code CheckFile(command_context& context) {
  const auto text = ReadFileText(context.arguments.front(), kMaxJsonBytes);
  if (!text)
    return context.out.Refused(text.error());
  const auto read =
      ReadDeclaration(text.value(), std::chrono::system_clock::now());
  if (!read)
    return context.out.Refused(read.error());
  return context.out.Done(SummaryOf(read.value()));
}

}  // namespace samphire
