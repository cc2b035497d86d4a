// An entry is stopped while gate alarm confirmations run. The bounds are those
// of the large deployment, whose grace time is 10 s.

#include "../stand_ins/stop_trial.h"

using std::chrono::milliseconds;

int main(int argc, char** argv) {
  const review::stop_settings settings{
      .entries = {{"front-poa-a-1", "poa-a"}, {"front-poa-b-1", "poa-b"}},
      .zones = {{"poa-a", "sul-poa"}, {"poa-b", "sul-poa"}},
      .bounds =
          R"({"seedLag":"3s","reuseAfter":"2s","stableWindow":"4000ms",)"
          R"("ack":"6000ms","catchUp":"6s","drain":"4000ms","grace":"10s",)"
          R"("lossSlack":"200ms","configApply":"4000ms",)"
          R"("rollbackSlack":"250ms","outerBound":"6000ms",)"
          R"("retryBudgetRatio":0.2,"budgetWindow":"10s",)"
          R"("retryBudgetSlack":430,"coldLoadFactor":1.5,"coldSlack":10,)"
          R"("evac":"5000ms","recover":"15s","ttl_max":"5s",)"
          R"("maxRegionShift":0.15})",
      .manifest =
          R"({"version":"00000007","limits":{"maxHeaderBytes":16384,)"
          R"("maxBodyBytes":67108864,"headerTimeout":"3000ms",)"
          R"("idleTimeout":"15000ms"},"listeners":[{"host":"bales.example",)"
          R"("rules":[{"name":"r-alarm","kind":"non_idempotent",)"
          R"("targetLatency":"1500ms","priority":1,"sessionAffinity":true,)"
          R"("match":{"pathPrefix":"/alarm/"},"action":{)"
          R"("service":"central-alarme","timeout":"5000ms","maxAttempts":2,)"
          R"("homeRegions":[]}}]}],"clusters":[{"name":"central-alarme",)"
          R"("healthPath":"/health","maxConns":3600,"protocol":"h1",)"
          R"("tls":false,"warmup":"3s","coldPerS":11.0}]})",
      .service = "central-alarme",
      .path = "/alarm/confirm",
      .grace = milliseconds{10'000},
      .route_timeout = milliseconds{5000},
      .time_limit = milliseconds{12'000},
      // The mean of the sheet.
      .work = milliseconds{3072},
      .sent_after = {milliseconds{500}, milliseconds{1500}, milliseconds{2500},
                     milliseconds{2700}, milliseconds{2900}},
  };
  return review::RunStopProgram(settings, argc, argv);
}
