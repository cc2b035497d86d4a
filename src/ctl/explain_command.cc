#include <fmt/format.h>

#include <string>

#include "ctl/commands.h"
#include "ctl/log_files.h"
#include "history/request_trace.h"

namespace samphire {

// The last argument is the request id, all others are log files.
exit_code ExplainRequest(command_context& context) {
  auto files = context.arguments;
  const auto request = files.back();
  files.pop_back();
  request_trace story(request);
  const auto read =
      ReadLogFiles(files, [&](std::string_view line) { story.Read(line); });
  if (!read)
    return context.out.Refused(read.error());
  std::string text;
  for (const auto& line : story.Lines())
    text += line.text + "\n";
  if (text.empty())
    return context.out.Refused(
        MakeError(result_code::kRequestNotLogged, request));
  text += fmt::format("lines that are not JSON: {}", story.unreadable());
  return context.out.Done(text);
}

}  // namespace samphire
