#include "scenarios.h"

#include <fmt/format.h>

namespace samphire {

std::string MixedScenario(int run_ms, int seed) {
  return fmt::format(
      R"({{"name":"mixed","seed":{},"run_ms":{},"longest_wait_ms":300,
"callers":[{{"region":"east","sources":["127.60.1.1","127.60.1.2"]}},
           {{"region":"west","sources":["127.60.2.1","127.60.2.2"]}}],
"streams":[
 {{"service":"s","class":"level","path":"/levels/{{n}}","deadline_ms":2000,
   "rates":[{{"at_ms":0,"per_second":100}}],"max_attempts":4}},
 {{"service":"s","class":"claim","method":"POST","path":"/claims",
   "deadline_ms":2000,"keyed":true,"max_attempts":5,
   "abandon_share":0.1,"abandon_after_ms":4,
   "rates":[{{"at_ms":0,"per_second":20}}]}},
 {{"service":"s","class":"archive","path":"/archives/{{n}}",
   "deadline_ms":5000,"answer_bytes":300000,"max_attempts":4,
   "rates":[{{"at_ms":0,"per_second":4}}]}}]}})",
      seed, run_ms);
}

}  // namespace samphire
