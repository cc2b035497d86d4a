#include "exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>

#include <array>
#include <istream>
#include <utility>

#include "experiment/body_check.h"

namespace samphire {

namespace {

using Poco::Net::HTTPResponse;

// Size of the buffer for one read from the response body.
constexpr std::size_t kReadBytes = 64 << 10;

std::int64_t ParseNumericHeader(const HTTPResponse& response,
                                const std::string& header,
                                std::int64_t fallback) {
  const auto text = response.get(header, "");
  Poco::Int64 number = 0;
  // The header has the form "NUMBER NAME"; the name is for human readers.
  return Poco::NumberParser::tryParse64(text.substr(0, text.find(' ')), number)
             ? number
             : fallback;
}

void ReadHeaders(const HTTPResponse& response, request_answered& answer) {
  answer.status = response.getStatus();
  answer.result = ParseNumericHeader(response, "Samphirewinch-Result", -1);
  answer.claim =
      ValueOf(kRunClaimNames, response.get("Samphirewinch-Run", "none"))
          .value_or(run_claim::kNone);
  answer.config_version =
      ParseNumericHeader(response, "Samphirewinch-Config", -1);
  answer.retry_after_s = ParseNumericHeader(response, "Retry-After", -1);
  answer.age_s = ParseNumericHeader(response, "Age", -1);
  answer.target_run = ParseNumericHeader(response, "Target-Run", 0);
}

// Returns whether the peer has closed the connection; doesn't block and leaves
// pending bytes unread.
bool PeerClosed(Poco::Net::StreamSocket& socket) {
  try {
    char byte = 0;
    return socket.poll(0, Poco::Net::Socket::SELECT_READ) &&
           socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

// Whether a number is a status of HTTP. The library takes any for one, so that
// bytes that are no answer would count as a refusal, or as a success.
bool IsStatus(int number) {
  return number >= 100 && number <= 599;
}

struct body_read {
  body_check check;
  std::int64_t bytes = 0;
};

body_read ReadBody(std::istream& stream) {
  body_read read;
  std::array<char, kReadBytes> buffer{};
  while (stream.good()) {
    stream.read(buffer.data(), buffer.size());
    const auto count = stream.gcount();
    read.check.Add({buffer.data(), static_cast<std::size_t>(count)});
    read.bytes += count;
  }
  return read;
}

// Returns whether the response is complete by HTTP's own framing. Poco treats
// the end of the connection as the end of a chunked body, and so does a caller
// that uses it, unless it inspects the connection as this function does.
bool FramingComplete(const HTTPResponse& response,
                     std::int64_t bytes,
                     Poco::Net::StreamSocket& socket) {
  if (response.hasContentLength())
    return bytes == response.getContentLength64();
  return !response.getKeepAlive() || !PeerClosed(socket);
}

void ClassifyBody(const body_read& read,
                  bool framing,
                  request_answered& answer) {
  // Only a 2xx response carries a target's response body; any other status is
  // a refusal.
  if (answer.status < 200 || answer.status >= 300) {
    answer.body = framing ? answer_body::kRefusal : answer_body::kTruncated;
    return;
  }
  answer.body = read.check.Verdict(framing);
  if (const auto& header = read.check.header()) {
    answer.echo_id = header->request_id;
    answer.measured_us = header->measured_us;
    answer.target_run = header->run;
  }
}

Poco::Timespan TimeoutOf(const exchange_request& exchange) {
  return Poco::Timespan(
      std::chrono::duration_cast<microseconds>(exchange.response_timeout)
          .count());
}

}  // namespace

request_answered Exchange(keep_alive_pool& pool, exchange_request& exchange) {
  request_answered answer;
  answer.body = answer_body::kNoConnection;
  pooled_connection connection;
  try {
    connection = pool.Acquire(exchange.source, exchange.destination,
                              exchange.response_timeout);
    answer.body = answer_body::kLost;
    answer.reused = connection.reused;
    auto& session = *connection.session;
    // Poco's session timeout applies only to connections that the session
    // opens itself.
    session.socket().setReceiveTimeout(TimeoutOf(exchange));
    session.sendRequest(exchange.request);
    HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    if (!IsStatus(response.getStatus()))
      return answer;
    ReadHeaders(response, answer);
    answer.body = answer_body::kTruncated;
    const auto read = ReadBody(stream);
    const bool framing =
        FramingComplete(response, read.bytes, session.socket());
    ClassifyBody(read, framing, answer);
    if (framing && response.getKeepAlive())
      pool.Release(exchange.source, exchange.destination,
                   std::move(connection));
  } catch (const Poco::TimeoutException&) {
    if (answer.body != answer_body::kNoConnection)
      answer.body = answer_body::kAbandoned;
  } catch (const Poco::Exception&) {
    // `answer.body` already says how far the exchange came.
  }
  return answer;
}

}  // namespace samphire
