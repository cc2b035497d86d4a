#include <string>
#include <vector>

#include "../stand_ins_2/client.h"
#include "../stand_ins_2/deployment.h"
#include "../stand_ins_2/scenario.h"

// Clients put a text of their own into a header, as an encoded word (RFC 2047),
// which is plain ASCII on the wire and a valid header value.

namespace review {

namespace {

constexpr int kRequests = 5;
constexpr int kMoreMs = 300;

// A note of two paragraphs. The calm run sends the same words without the line
// breaks between them.
std::string PlainNote(bool calm) {
  const std::string separator = calm ? "_" : "=0D=0A=0D=0A";
  return "=?UTF-8?Q?Gate_3_is_open." + separator + "Seen_from_the_dam.?=";
}

// A note that holds the text of another request.
std::string NoteWithRequest(int number, bool calm) {
  const std::string line_break = calm ? "_" : "=0D=0A";
  return "=?UTF-8?Q?note" + line_break + line_break + "POST_/alarms/" +
         std::to_string(number) + "_HTTP/1.1" + line_break +
         "Request-Id:_hidden-" + std::to_string(number) + "?=";
}

}  // namespace

outcome PlayScenario(const scenario_context& context) {
  deployment all(context.folder, context.log);
  for (const char* service : {"dashboard", "alarms"}) {
    all.AddWorker(service);
    all.AddWorker(service);
  }
  if (!all.Start())
    return outcome::kCouldNotRun;
  std::map<std::string, client_request> sent;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    client caller(all.caller_address(i % 2), context.log);
    const auto number = std::to_string(i);
    const std::vector<client_request> requests = {
        {.method = "GET",
         .path = "/levels/" + number,
         .id = "read-" + number,
         .extra_headers = {{"X-Note", NoteWithRequest(i, context.calm)}}},
        {.method = "POST",
         .path = "/alarms/" + number,
         .id = "confirm-" + number,
         .extra_headers = {{"X-Note", PlainNote(context.calm)}},
         .body = "gate=3&confirmed=" + number}};
    for (const auto& request : requests) {
      served += IsServed(caller.Call(request), request) ? 1 : 0;
      caller.ReadMore(kMoreMs);
    }
    sent.insert(caller.sent().begin(), caller.sent().end());
  }
  context.log.Write("served whole: " + std::to_string(served) + " of " +
                    std::to_string(2 * kRequests));
  const auto found = UnaskedRuns(all.Runs(), sent);
  for (const auto& each : found)
    context.log.Write("UNASKED: " + each);
  if (!found.empty())
    return outcome::kBroken;
  if (context.calm && served < 2 * kRequests)
    return outcome::kCouldNotRun;
  return outcome::kHeld;
}

}  // namespace review
