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
constexpr int kCallsOfRound = 4;

// A note of two paragraphs. The calm run sends the same words without the line
// breaks between them.
std::string PlainNote(bool calm) {
  const std::string separator = calm ? "_" : "=0D=0A=0D=0A";
  return "=?UTF-8?Q?Gate_3_is_open." + separator + "Seen_from_the_dam.?=";
}

// A note that holds the text of another request.
std::string NoteWithRequest(const std::string& number, bool calm) {
  const std::string line_break = calm ? "_" : "=0D=0A";
  return "=?UTF-8?Q?note" + line_break + line_break + "POST_/alarms/" + number +
         "_HTTP/1.1" + line_break + "Request-Id:_hidden-" + number + "?=";
}

// The same for a request whose body is still to come: the worker takes for it
// what the entry sends next on the connection.
std::string NoteWithOpenRequest(const std::string& number, bool calm) {
  const std::string line_break = calm ? "_" : "=0D=0A";
  return "=?UTF-8?Q?note" + line_break + line_break + "POST_/levels/" + number +
         "_HTTP/1.1" + line_break + "Request-Id:_open-" + number + line_break +
         "Content-Length:_120?=";
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
         .extra_headers = {{"X-Note", NoteWithRequest(number, context.calm)}}},
        {.method = "POST",
         .path = "/alarms/" + number,
         .id = "confirm-" + number,
         .extra_headers = {{"X-Note", PlainNote(context.calm)}},
         .body = "gate=3&confirmed=" + number}};
    for (const auto& request : requests) {
      served += IsServed(caller.Call(request), request) ? 1 : 0;
      caller.ReadMore(kMoreMs);
    }
    const client_request open{
        .path = "/levels/" + number,
        .id = "peek-" + number,
        .extra_headers = {
            {"X-Note", NoteWithOpenRequest(number, context.calm)}}};
    served += IsServed(caller.Call(open), open) ? 1 : 0;
    client other(all.caller_address(i % 2), context.log);
    const client_request next{.path = "/levels/" + number,
                              .id = "other-" + number,
                              .extra_headers = {{"X-Secret", "of-another"}}};
    served += IsServed(other.Call(next), next) ? 1 : 0;
    for (const auto* each : {&caller, &other})
      sent.insert(each->sent().begin(), each->sent().end());
  }
  context.log.Write("served whole: " + std::to_string(served) + " of " +
                    std::to_string(kCallsOfRound * kRequests));
  const auto found = UnaskedRuns(all.Runs(), sent);
  for (const auto& each : found)
    context.log.Write("UNASKED: " + each);
  if (!found.empty())
    return outcome::kBroken;
  if (context.calm && served < kCallsOfRound * kRequests)
    return outcome::kCouldNotRun;
  return outcome::kHeld;
}

}  // namespace review
