#include "store/http_caller.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <fmt/format.h>

#include <array>
#include <istream>
#include <utility>

namespace samphire {

namespace {

constexpr std::size_t kReadBytes = 16'384;

// The body of exactly `length` bytes; an early end is an exception, since a
// part of an answer must never pass for the whole. The deadline bounds an
// answer that trickles in, each byte within the socket's own timeout.
std::string ReadBody(std::istream& in,
                     std::streamsize length,
                     const clock_source& clock,
                     time_point deadline) {
  std::string body;
  std::array<char, kReadBytes> buffer{};
  while (in.good()) {
    if (clock.now() > deadline)
      throw Poco::TimeoutException("answer too slow");
    in.read(buffer.data(), buffer.size());
    body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
  }
  if (length < 0 || body.size() != static_cast<std::size_t>(length))
    throw Poco::Net::MessageException("answer cut short");
  return body;
}

}  // namespace

// Once a byte of a write may have left, only a whole answer tells what came
// of it: a lost answer and a lost request look the same from here. Taking one
// for "not run" would let a caller run it a second time. A read changes
// nothing, so it is merely unanswered.
error Unanswered(const store_http_call& what, std::string detail) {
  return MakeError(what.writes ? result_code::kStoreOutcomeUnknown
                               : result_code::kStoreUnreachable,
                   std::move(detail));
}

// 429 and 503 are the platform's word that it did nothing. Other 5xx may come
// from something in between, after the write was passed on.
error RefusalOf(const store_http_call& what, int status) {
  auto detail = fmt::format("status {}", status);
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
    return Unanswered(what, std::move(detail));
  return MakeError(result_code::kStoreRefused, std::move(detail));
}

http_caller::http_caller(http_store_options options, const clock_source& clock)
    : options_(std::move(options)), clock_(clock) {
  for (const auto& address : options_.addresses) {
    pools_.push_back(
        std::make_unique<http_connection_pool>(address, options_, clock_));
  }
}

// Goes on to the next address only while the call surely had no effect, which
// for a read is always.
result<store_http_reply> http_caller::Call(const store_http_call& what) {
  const auto first = preferred_.load();
  error last = MakeError(result_code::kStoreUnreachable, "no address");
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    const auto index = (first + i) % pools_.size();
    auto got = TryPool(*pools_[index], what);
    const bool unavailable = got && got.value().status == 503;
    if (got && !unavailable) {
      preferred_ = index;
      return got;
    }
    last = got ? RefusalOf(what, got.value().status) : got.error();
    if (last.code == result_code::kStoreOutcomeUnknown)
      break;
  }
  return last;
}

result<store_http_reply> http_caller::TryPool(http_connection_pool& pool,
                                              const store_http_call& what) {
  BOOST_OUTCOME_TRY(session, pool.Take());
  auto got = Exchange(*session, what);
  if (got && session->getKeepAlive())
    pool.GiveBack(std::move(session));
  return got;
}

result<store_http_reply> http_caller::Exchange(
    Poco::Net::HTTPClientSession& session,
    const store_http_call& what) {
  const auto deadline = clock_.now() + what.timeout;
  try {
    session.setTimeout(Poco::Timespan(what.timeout.count() * 1000));
    session.socket().setReceiveTimeout(session.getTimeout());
    session.socket().setSendTimeout(session.getTimeout());
    Poco::Net::HTTPRequest head(what.method, what.uri,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    head.setHost("platform");
    head.setKeepAlive(true);
    for (const auto& [name, value] : what.headers)
      head.set(name, value);
    if (!what.body.empty() || what.method == Poco::Net::HTTPRequest::HTTP_PUT)
      head.setContentLength64(static_cast<Poco::Int64>(what.body.size()));
    session.sendRequest(head) << what.body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    store_http_reply got;
    got.status = response.getStatus();
    got.etag = response.get("Etag", "");
    got.body = ReadBody(in, response.getContentLength64(), clock_, deadline);
    session.setKeepAlive(response.getKeepAlive());
    return got;
  } catch (const Poco::Exception& e) {
    return Unanswered(what, e.displayText());
  } catch (const std::exception& e) {
    return Unanswered(what, e.what());
  }
}

}  // namespace samphire
