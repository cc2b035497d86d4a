#include "caller.h"

#include <Poco/String.h>
#include <fmt/format.h>

#include <thread>
#include <utility>

#include "exchange.h"
#include "experiment/caller_retry_context.h"

namespace samphire {

namespace {

// How long a caller waits for a response after its deadline has passed. The
// response that reports the missed deadline must still be able to arrive.
constexpr milliseconds kGraceAfterDeadline{500};

std::int64_t CountMs(duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

request_answered MakeUnconnectedAnswer() {
  request_answered answer;
  answer.body = answer_body::kNoConnection;
  return answer;
}

}  // namespace

caller::caller(const scenario& plan,
               std::string direct,
               keep_alive_pool& pool,
               lookup_cache& lookups,
               history_writer& history)
    : plan_(plan),
      direct_(std::move(direct)),
      pool_(pool),
      lookups_(lookups),
      history_(history),
      run_tag_(fmt::format("{:x}", HistoryNow())) {}

request_outcome caller::SendWithRetries(const arrival& arrival,
                                        time_point start) {
  const auto& stream = plan_.streams[arrival.stream];
  const auto& source = plan_.callers[arrival.group].sources[arrival.source];
  const auto intended = start + arrival.at;
  request_outcome outcome{.stream = arrival.stream,
                          .at = arrival.at,
                          .deadline = stream.deadline,
                          .attempts = 0};
  // The abandoned attempt does not count towards the limit, because the retry
  // that follows it is what the scenario measures.
  const auto max_attempts = stream.max_attempts + (arrival.abandons ? 1 : 0);
  while (true) {
    const bool abandons = arrival.abandons && outcome.attempts == 0;
    const auto now = std::chrono::steady_clock::now();
    const duration remaining =
        std::max<duration>(intended + stream.deadline - now, milliseconds(1));
    request_attempt next{
        .id =
            fmt::format("{}-{}-{}", run_tag_, arrival.number, outcome.attempts),
        .key = stream.keyed ? fmt::format("{}-{}", run_tag_, arrival.number)
                            : std::string(),
        .destination = SelectDestination(stream, source, outcome.attempts),
        .remaining = remaining,
        .response_timeout = abandons ? duration(stream.abandon_after)
                                     : remaining + kGraceAfterDeadline};
    const auto answer = next.destination.empty() ? MakeUnconnectedAnswer()
                                                 : Send(stream, arrival, next);
    ++outcome.attempts;
    const auto done = std::chrono::steady_clock::now();
    outcome.latency = done - intended;
    outcome.status = answer.status;
    outcome.result = answer.result;
    outcome.body = answer.body;
    if (abandons && answer.body == answer_body::kAbandoned)
      continue;
    const auto wait =
        CallerRetryDelay({.answer = answer,
                          .keyed = stream.keyed,
                          .attempts_remain = outcome.attempts < max_attempts,
                          .time_left = intended + stream.deadline - done,
                          .max_retry_wait = plan_.max_retry_wait});
    if (!wait)
      return outcome;
    std::this_thread::sleep_for(*wait);
  }
}

std::string caller::SelectDestination(const request_stream& stream,
                                      const std::string& source,
                                      std::uint32_t attempt) {
  if (!direct_.empty())
    return direct_;
  const auto entries = lookups_.EntriesFor(source, stream.service);
  return entries.empty() ? std::string() : entries[attempt % entries.size()];
}

Poco::Net::HTTPRequest caller::MakeRequest(
    const request_stream& stream,
    const arrival& arrival,
    const request_attempt& request_attempt) const {
  const auto path = Poco::replace(stream.path, std::string("{n}"),
                                  std::to_string(arrival.number));
  Poco::Net::HTTPRequest request(
      stream.method,
      direct_.empty() ? "/v1/services/" + stream.service + path : path,
      "HTTP/1.1");
  request.setHost(request_attempt.destination);
  request.setKeepAlive(true);
  request.set("Request-Id", request_attempt.id);
  request.set("Samphirewinch-Deadline-Ms",
              std::to_string(std::max<std::int64_t>(
                  1, CountMs(request_attempt.remaining))));
  if (!request_attempt.key.empty())
    request.set("Idempotency-Key", request_attempt.key);
  if (stream.answer_bytes > 0)
    request.set("Target-Bytes", std::to_string(stream.answer_bytes));
  for (const auto& [name, value] : stream.headers)
    request.set(name, value);
  if (stream.method != "GET" && stream.method != "HEAD")
    request.setContentLength(0);
  return request;
}

request_answered caller::Send(const request_stream& stream,
                              const arrival& arrival,
                              const request_attempt& request_attempt) {
  history_.Write(
      request_sent{.time_us = HistoryNow(),
                   .id = request_attempt.id,
                   .service = stream.service,
                   .request_class = stream.request_class,
                   .key = request_attempt.key,
                   .home = plan_.callers[arrival.group].region,
                   .entry = request_attempt.destination,
                   .deadline_ms = CountMs(request_attempt.remaining)});
  exchange_request exchange{
      .source = plan_.callers[arrival.group].sources[arrival.source],
      .destination = request_attempt.destination,
      .request = MakeRequest(stream, arrival, request_attempt),
      .response_timeout = request_attempt.response_timeout};
  const auto sent = std::chrono::steady_clock::now();
  auto answer = Exchange(pool_, exchange);
  answer.latency_us = std::chrono::duration_cast<microseconds>(
                          std::chrono::steady_clock::now() - sent)
                          .count();
  answer.time_us = HistoryNow();
  answer.id = request_attempt.id;
  history_.Write(answer);
  return answer;
}

}  // namespace samphire
