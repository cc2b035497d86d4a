#include <fmt/format.h>

#include <fstream>
#include <string>

#include "ctl/commands.h"
#include "history/log_story.h"

namespace samphire {

// Works on files alone, since whoever asks has the logs of entries that may be
// long gone.
exit_code ExplainRequest(command_context& context) {
  auto files = context.words;
  const auto request = files.back();
  files.pop_back();
  log_story story(request);
  for (const auto& path : files) {
    std::ifstream file(path);
    if (!file) {
      return context.out.Refused(MakeError(result_code::kFileUnreadable, path));
    }
    for (std::string line; std::getline(file, line);)
      story.Read(line);
  }
  std::string text;
  for (const auto& line : story.Lines())
    text += line.text + "\n";
  if (text.empty())
    return context.out.Refused(
        MakeError(result_code::kRequestNotLogged, request));
  text += fmt::format("lines that are no JSON: {}", story.unreadable());
  return context.out.Done(text);
}

}  // namespace samphire
