#include <cstdlib>
#include <string>

#include "record.h"
#include "scenario.h"

// Plays the scenario of one case: FOLDER is for settings and logs, RECORD is
// the file that tells what was sent, answered and run.
int main(int argc, char** argv) {
  if (argc != 3)
    return static_cast<int>(review::outcome::kCouldNotRun);
  const char* trouble = std::getenv("TROUBLE");
  review::record log(argv[2]);
  const review::scenario_context context{
      .folder = argv[1],
      .calm = trouble != nullptr && std::string(trouble) == "0",
      .log = log};
  const auto result = static_cast<int>(review::PlayScenario(context));
  log.Write("exit status " + std::to_string(result));
  return result;
}
