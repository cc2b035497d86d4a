#include "store/http_caller.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <fmt/format.h>

#include <utility>

#include "proxy/caller_watch.h"
#include "proxy/message_head.h"
#include "proxy/whole_body.h"

namespace samphire {

namespace {

// A connection on which the platform acknowledges nothing for this long fails.
// A watch waits for seconds without receiving a byte; if its connection broke
// unnoticed, every change would be delayed until the watch times out.
constexpr milliseconds kUnacknowledgedTimeout{1500};

// Upper bound on the bodies of responses that are being read, together, in
// bytes. A page of a listing has about 1 MB; several kinds of objects are
// followed at a time.
constexpr std::size_t kMaxHeldBytes = std::size_t{24} << 20U;

Poco::Net::HTTPRequest HeadOf(const store_http_call& call) {
  Poco::Net::HTTPRequest head(call.method, call.uri,
                              Poco::Net::HTTPMessage::HTTP_1_1);
  head.setHost("platform");
  head.setKeepAlive(true);
  for (const auto& [name, value] : call.headers)
    head.set(name, value);
  if (!call.body.empty() || call.method == Poco::Net::HTTPRequest::HTTP_PUT)
    head.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
  return head;
}

// Joins the values of a header that is repeated, so that it is no number.
std::string AllValues(const Poco::Net::HTTPResponse& head,
                      const std::string& name) {
  return fmt::format("{}", fmt::join(ValuesOf(head, name), ", "));
}

}  // namespace

// Once a byte of a write may have been sent, only a complete response tells its
// outcome: a lost response and a lost request are indistinguishable here. If
// the write were reported as not executed, a caller might execute it a second
// time. A read changes nothing, so that it merely counts as unreachable.
error IncompleteResponseError(const store_http_call& call, std::string detail) {
  return MakeError(call.writes ? result_code::kStoreOutcomeUnknown
                               : result_code::kStoreUnreachable,
                   std::move(detail));
}

// With 429 and 503 the platform guarantees that the call had no effect. Other
// 5xx statuses may come from an intermediary after the write was forwarded.
error ErrorForStatus(const store_http_call& call, int status) {
  auto detail = fmt::format("HTTP status {}", status);
  switch (status) {
    case 404:
      return MakeError(result_code::kStoreNotFound, std::move(detail));
    case 409:
      return MakeError(result_code::kStoreConflict, std::move(detail));
    case 413:
      return MakeError(result_code::kStoreValueTooLarge, std::move(detail));
    case 429:
    case 503:
      return MakeError(result_code::kStoreUnreachable, std::move(detail));
    default:
      break;
  }
  if (status >= 500)
    return IncompleteResponseError(call, std::move(detail));
  return MakeError(result_code::kStoreRefused, std::move(detail));
}

http_caller::http_caller(http_store_options options, const clock_source& clock)
    : options_(std::move(options)),
      clock_(clock),
      opener_(kUnacknowledgedTimeout),
      pool_(opener_, options_.max_idle_time),
      body_budget_(kMaxHeldBytes) {}

// Tries the next address only while the call certainly had no effect, which is
// always the case for a read.
result<store_http_reply> http_caller::Call(const store_http_call& call) {
  const auto first = preferred_index_.load();
  error last = MakeError(result_code::kStoreUnreachable,
                         "no platform address configured");
  const auto& addresses = options_.addresses;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const auto index = (first + i) % addresses.size();
    auto reply = CallAddress(addresses[index], call);
    const bool unavailable = reply && reply.value().status == 503;
    if (reply && !unavailable) {
      preferred_index_ = index;
      return reply;
    }
    last = reply ? ErrorForStatus(call, reply.value().status) : reply.error();
    if (last.code == result_code::kStoreOutcomeUnknown)
      break;
  }
  return last;
}

// Nothing was sent if connecting fails. Once connected, the call is sent once.
result<store_http_reply> http_caller::CallAddress(const std::string& address,
                                                  const store_http_call& call) {
  const caller_watch no_caller;
  http_exchange exchange(pool_, address, no_caller,
                         clock_.now() + options_.connect_timeout,
                         {.connect_timeout = options_.connect_timeout});
  if (const auto connected = exchange.Connect(connection_use::kAny); !connected)
    return MakeError(result_code::kStoreUnreachable,
                     address + ": " + connected.error().detail);
  auto reply = Exchange(exchange, call);
  if (!reply && reply.error().code == result_code::kPeerMalformed &&
      !call.writes)
    return MakeError(result_code::kStoreValueTooLarge, reply.error().detail);
  if (!reply)
    return IncompleteResponseError(
        call, fmt::format("{}: {} {}", address, NameOf(reply.error().code),
                          reply.error().detail));
  return reply;
}

result<store_http_reply> http_caller::Exchange(http_exchange& exchange,
                                               const store_http_call& call) {
  exchange.SetDeadline(clock_.now() + call.timeout);
  BOOST_OUTCOME_TRYV(exchange.Send(HeadOf(call), call.body));
  BOOST_OUTCOME_TRY(head, exchange.ReadHead());
  store_http_reply reply;
  reply.status = head->getStatus();
  reply.etag = AllValues(*head, "Etag");
  if (!options_.era_header.empty())
    reply.era = AllValues(*head, options_.era_header);
  BOOST_OUTCOME_TRY(body, ReadWholeBody(exchange, body_budget_));
  reply.body = std::move(body);
  return reply;
}

}  // namespace samphire
