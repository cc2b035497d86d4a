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

constexpr std::size_t kReadBytes = 64 << 10;

std::int64_t NumberOf(const HTTPResponse& response,
                      const std::string& header,
                      std::int64_t otherwise) {
  const auto text = response.get(header, "");
  Poco::Int64 number = 0;
  // "NUMBER NAME": the name is for people.
  return Poco::NumberParser::tryParse64(text.substr(0, text.find(' ')), number)
             ? number
             : otherwise;
}

void ReadHeaders(const HTTPResponse& response, request_answered& answer) {
  answer.status = response.getStatus();
  answer.result = NumberOf(response, "Samphirewinch-Result", -1);
  answer.claim =
      ValueOf(kRunClaimNames, response.get("Samphirewinch-Run", "none"))
          .value_or(run_claim::kNone);
  answer.config_version = NumberOf(response, "Samphirewinch-Config", -1);
  answer.retry_after_s = NumberOf(response, "Retry-After", -1);
  answer.age_s = NumberOf(response, "Age", -1);
  answer.target_run = NumberOf(response, "Target-Run", 0);
}

bool AtEnd(Poco::Net::StreamSocket& socket) {
  try {
    char byte = 0;
    return socket.poll(0, Poco::Net::Socket::SELECT_READ) &&
           socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
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

// Whether HTTP's own framing was complete. Poco takes the end of a connection
// for the end of the chunks; so does the caller's code, unless it looks at the
// connection as this does.
bool FramingWhole(const HTTPResponse& response,
                  std::int64_t bytes,
                  Poco::Net::StreamSocket& socket) {
  if (response.hasContentLength())
    return bytes == response.getContentLength64();
  return !response.getKeepAlive() || !AtEnd(socket);
}

void JudgeBody(const body_read& read, bool framing, request_answered& answer) {
  // Only a status of success claims to hold a target's answer.
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

Poco::Timespan TimeoutOf(const exchange_order& order) {
  return Poco::Timespan(
      std::chrono::duration_cast<microseconds>(order.patience).count());
}

}  // namespace

request_answered Exchange(keep_alive_pool& pool, exchange_order& order) {
  request_answered answer;
  answer.body = answer_body::kNoConnection;
  caller_connection connection;
  try {
    connection = pool.Take(order.source, order.destination, order.patience);
    answer.body = answer_body::kLost;
    answer.reused = connection.reused;
    auto& session = *connection.session;
    // The session's own time-out holds only for connections it makes itself.
    session.socket().setReceiveTimeout(TimeoutOf(order));
    session.sendRequest(order.request);
    HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    ReadHeaders(response, answer);
    answer.body = answer_body::kTruncated;
    const auto read = ReadBody(stream);
    const bool framing = FramingWhole(response, read.bytes, session.socket());
    JudgeBody(read, framing, answer);
    if (framing && response.getKeepAlive())
      pool.GiveBack(order.source, order.destination, std::move(connection));
  } catch (const Poco::TimeoutException&) {
    if (answer.body != answer_body::kNoConnection)
      answer.body = answer_body::kAbandoned;
  } catch (const Poco::Exception&) {
    // The body's state says how far it came.
  }
  return answer;
}

}  // namespace samphire
