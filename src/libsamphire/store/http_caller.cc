#include "store/http_caller.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <array>
#include <istream>
#include <utility>

#include "base/body_time_limits.h"

namespace samphire {

namespace {

// Size of the buffer through which a body is read.
constexpr std::size_t kReadChunkBytes = 16'384;

// Upper bound on the body of a response, in bytes. A page of a listing has
// about 1 MB.
constexpr std::size_t kMaxBodyBytes = std::size_t{64} << 20U;

// Reads a body of exactly `length` bytes and throws if it ends early: a
// truncated response must never be taken for a complete one. The deadline
// bounds responses that arrive slowly while each byte stays within the socket's
// own timeout.
std::string ReadBody(std::istream& in,
                     std::streamsize length,
                     const clock_source& clock,
                     time_point deadline) {
  std::string body;
  std::array<char, kReadChunkBytes> buffer{};
  while (in.good()) {
    if (clock.now() > deadline)
      throw Poco::TimeoutException("response not complete before the deadline");
    in.read(buffer.data(), buffer.size());
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
    if (body.size() > kMaxBodyBytes)
      throw Poco::Net::MessageException("response body too long");
  }
  if (length < 0 || body.size() != static_cast<std::size_t>(length))
    throw Poco::Net::MessageException("response body truncated");
  return body;
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
    : options_(std::move(options)), clock_(clock) {
  for (const auto& address : options_.addresses) {
    pools_.push_back(
        std::make_unique<http_connection_pool>(address, options_, clock_));
  }
}

// Tries the next address only while the call certainly had no effect, which is
// always the case for a read.
result<store_http_reply> http_caller::Call(const store_http_call& call) {
  const auto first = preferred_index_.load();
  error last = MakeError(result_code::kStoreUnreachable,
                         "no platform address configured");
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const auto index = (first + i) % pools_.size();
    auto reply = CallAddress(*pools_[index], call);
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

result<store_http_reply> http_caller::CallAddress(http_connection_pool& pool,
                                                  const store_http_call& call) {
  BOOST_OUTCOME_TRY(session, pool.Acquire());
  auto reply = Exchange(*session, call);
  if (reply && session->getKeepAlive())
    pool.Release(std::move(session));
  return reply;
}

result<store_http_reply> http_caller::Exchange(
    Poco::Net::HTTPClientSession& session,
    const store_http_call& call) {
  try {
    session.setTimeout(Poco::Timespan(call.timeout.count() * 1000));
    session.socket().setReceiveTimeout(session.getTimeout());
    session.socket().setSendTimeout(session.getTimeout());
    Poco::Net::HTTPRequest head(call.method, call.uri,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    head.setHost("platform");
    head.setKeepAlive(true);
    for (const auto& [name, value] : call.headers)
      head.set(name, value);
    if (!call.body.empty() || call.method == Poco::Net::HTTPRequest::HTTP_PUT)
      head.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    session.sendRequest(head) << call.body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    store_http_reply reply;
    reply.status = response.getStatus();
    reply.etag = response.get("Etag", "");
    if (!options_.era_header.empty())
      reply.era = response.get(options_.era_header, "");
    session.socket().setReceiveTimeout(
        Poco::Timespan(microseconds(kMaxBodyPause).count()));
    reply.body = ReadBody(in, response.getContentLength64(), clock_,
                          clock_.now() + kMaxBodyTime);
    session.setKeepAlive(response.getKeepAlive());
    return reply;
  } catch (const Poco::Exception& e) {
    return IncompleteResponseError(call, e.displayText());
  } catch (const std::exception& e) {
    return IncompleteResponseError(call, e.what());
  }
}

}  // namespace samphire
