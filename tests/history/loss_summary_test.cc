#include "history/loss_summary.h"

#include <catch2/catch.hpp>

using namespace samphire;

// Callers report problems during a quarter of an hour, but no request id is
// known. From the logs of two entries an engineer must see which requests were
// late, which were not served, when, and why.
TEST_CASE("logs show how many requests were late or unserved, when and why") {
  loss_summary losses;
  const char* const lines[] = {
      // In time: only the line of its end is logged.
      R"({"time":"2026-12-03T10:00:01.000Z","instance":"a","event":"request","request":"r1","result":"ok","status":200})",
      // Late because its target did not have the key yet.
      R"({"time":"2026-12-03T10:00:02.000Z","instance":"a","event":"attempt","request":"r2","load_before":0,"slots":4,"knows_key":false,"result":"answered"})",
      R"({"time":"2026-12-03T10:00:02.001Z","instance":"a","event":"request","request":"r2","result":"ok","status":200})",
      // Late because it was queued at the target.
      R"(front-1 {"time":"2026-12-03T10:00:03.000Z","instance":"b","event":"attempt","request":"r3","load_before":4.5,"slots":4,"knows_key":true,"result":"answered"})",
      R"(front-1 {"time":"2026-12-03T10:00:03.001Z","instance":"b","event":"request","request":"r3","result":"ok","status":200})",
      // Refused; the caller retried with another request id and was served in
      // time
      // by the second target.
      R"({"time":"2026-12-03T10:00:14.000Z","instance":"a","event":"request","request":"r4","result":"queue-full","status":503})",
      R"({"time":"2026-12-03T10:00:15.000Z","instance":"a","event":"attempt","request":"r5","load_before":1,"slots":4,"knows_key":true,"result":"lost"})",
      R"({"time":"2026-12-03T10:00:15.100Z","instance":"a","event":"request","request":"r5","result":"ok","status":200})",
      R"({"time":"2026-12-03T10:00:15.500Z","instance":"a","event":"request","request":"r6","result":"ok","status":500})",
      R"({"time":"2026-12-03T10:00:16.000Z","instance":"a","event":"log-lines-dropped","lines":7})",
      R"({"time":"2026-12-03T10:00:16.0)"};
  for (const auto* line : lines)
    losses.Read(line);
  CHECK(losses.requests() == 6);
  CHECK(losses.unreadable() == 1);
  CHECK(losses.dropped() == 7);
  CHECK(losses.by_cause() ==
        std::map<std::string, std::uint64_t>{
            {"late: the target was not known to have the key", 1},
            {"late: queued at the target", 1},
            {"not served: queue-full", 1},
            {"not served: the target failed it", 1}});
  const auto& first = losses.by_interval().at("2026-12-03T10:00:00");
  CHECK(first.requests == 3);
  CHECK(first.late == 2);
  const auto& second = losses.by_interval().at("2026-12-03T10:00:10");
  CHECK(second.requests == 3);
  CHECK(second.unserved == 2);
  CHECK(losses.Text().find("16.7%  not served: queue-full") !=
        std::string::npos);
}
