#include "store/http_object_store.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <istream>
#include <utility>

#include "store/store_json.h"

namespace samphire {

namespace {

constexpr std::size_t kReadBytes = 16'384;

std::string Encode(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "!*'();:@&=+$,/?#[]%", encoded);
  return encoded;
}

std::string ObjectUri(const std::string& key) {
  return "/v1/objects/" + Encode(key);
}

const std::string& MethodOf(store_call call) {
  using http = Poco::Net::HTTPRequest;
  if (call == store_call::kPut)
    return http::HTTP_PUT;
  return call == store_call::kDelete ? http::HTTP_DELETE : http::HTTP_GET;
}

// Once a byte of a write may have left, only a whole answer tells what came
// of it: a lost answer and a lost request look the same from here. Taking one
// for "not run" would let a caller run it a second time. A read changes
// nothing, so it is merely unanswered.
error Unanswered(store_call call, std::string detail) {
  return MakeError(Writes(call) ? result_code::kStoreOutcomeUnknown
                                : result_code::kStoreUnreachable,
                   std::move(detail));
}

// 503 is the platform's word that it did nothing. Other 5xx may come from
// something in between, after the write was passed on.
error Refusal(store_call call, int status) {
  auto detail = fmt::format("status {}", status);
  switch (status) {
    case 404:
      return MakeError(result_code::kStoreNotFound, std::move(detail));
    case 409:
      return MakeError(result_code::kStoreConflict, std::move(detail));
    case 413:
      return MakeError(result_code::kStoreValueTooLarge, std::move(detail));
    case 503:
      return MakeError(result_code::kStoreUnreachable, std::move(detail));
    default:
      break;
  }
  if (status >= 500)
    return Unanswered(call, std::move(detail));
  return MakeError(result_code::kStoreRefused, std::move(detail));
}

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

http_object_store::http_object_store(http_store_options options,
                                     const clock_source& clock,
                                     metrics& metrics)
    : options_(std::move(options)), clock_(clock), metrics_(metrics) {
  for (const auto& address : options_.addresses) {
    pools_.push_back(
        std::make_unique<http_connection_pool>(address, options_, clock_));
  }
}

result<store_object> http_object_store::Get(const std::string& key) {
  BOOST_OUTCOME_TRY(
      got,
      Call({store_call::kGet, ObjectUri(key), {}, 0, options_.answer_timeout}));
  const auto& etag = got.etag;
  const bool number = !etag.empty() && etag.size() < 20 &&
                      std::all_of(etag.begin(), etag.end(),
                                  [](char c) { return c >= '0' && c <= '9'; });
  if (!number)
    return Counted(MakeError(result_code::kStoreCorrupt, "Etag of " + key));
  return store_object{key, std::stoull(etag), std::move(got.body)};
}

result<std::uint64_t> http_object_store::Put(const std::string& key,
                                             const std::string& value,
                                             std::uint64_t expected) {
  BOOST_OUTCOME_TRY(got, Call({store_call::kPut, ObjectUri(key), value,
                               expected, options_.answer_timeout}));
  const auto version = ReadVersion(got.body);
  // It took effect, but without its version the caller must read it back.
  if (!version)
    return Counted(Unanswered(store_call::kPut, "answer without a version"));
  return version.value();
}

result<void> http_object_store::Delete(const std::string& key,
                                       std::uint64_t expected) {
  BOOST_OUTCOME_TRY(got, Call({store_call::kDelete,
                               ObjectUri(key),
                               {},
                               expected,
                               options_.answer_timeout}));
  static_cast<void>(got);
  return Success();
}

result<std::vector<store_object>> http_object_store::List(
    const std::string& prefix) {
  return Read({store_call::kList,
               "/v1/objects?prefix=" + Encode(prefix),
               {},
               0,
               options_.answer_timeout},
              ReadObjects);
}

result<watch_batch> http_object_store::Watch(const std::string& prefix,
                                             std::uint64_t cursor,
                                             milliseconds wait) {
  const auto uri = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}",
                               Encode(prefix), cursor, wait.count());
  return Read({store_call::kWatch, uri, {}, 0, wait + options_.watch_margin},
              ReadBatch);
}

result<std::vector<instance_info>> http_object_store::Instances() {
  return Read(
      {store_call::kInstances, "/v1/instances", {}, 0, options_.answer_timeout},
      ReadInstances);
}

template <typename T>
result<T> http_object_store::Read(const request& what,
                                  result<T> (*read)(const std::string& text)) {
  BOOST_OUTCOME_TRY(got, Call(what));
  auto value = read(got.body);
  if (!value)
    return Counted(value.error());
  return value;
}

result<http_object_store::answer> http_object_store::Call(const request& what) {
  metrics_.Count(
      "store_calls_total",
      fmt::format("kind=\"{}\"", NameOf(kStoreCallNames, what.call)));
  auto got = TryAddresses(what);
  if (!got)
    return Counted(got.error());
  if (got.value().status != 200)
    return Counted(Refusal(what.call, got.value().status));
  return got;
}

error http_object_store::Counted(error why) {
  metrics_.Count("store_errors_total",
                 fmt::format("reason=\"{}\"", NameOf(why.code)));
  return why;
}

// Goes on to the next address only while the call surely had no effect, which
// for a read is always.
result<http_object_store::answer> http_object_store::TryAddresses(
    const request& what) {
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
    last = got ? Refusal(what.call, got.value().status) : got.error();
    if (last.code == result_code::kStoreOutcomeUnknown)
      break;
  }
  return last;
}

result<http_object_store::answer> http_object_store::TryPool(
    http_connection_pool& pool,
    const request& what) {
  BOOST_OUTCOME_TRY(session, pool.Take());
  auto got = Exchange(*session, what);
  if (got && session->getKeepAlive())
    pool.GiveBack(std::move(session));
  return got;
}

result<http_object_store::answer> http_object_store::Exchange(
    Poco::Net::HTTPClientSession& session,
    const request& what) {
  const auto deadline = clock_.now() + what.timeout;
  try {
    session.setTimeout(Poco::Timespan(what.timeout.count() * 1000));
    session.socket().setReceiveTimeout(session.getTimeout());
    session.socket().setSendTimeout(session.getTimeout());
    Poco::Net::HTTPRequest head(MethodOf(what.call), what.uri,
                                Poco::Net::HTTPMessage::HTTP_1_1);
    head.setHost("platform");
    head.setKeepAlive(true);
    if (Writes(what.call))
      head.set("If-Match", std::to_string(what.expected));
    if (what.call == store_call::kPut)
      head.setContentLength64(static_cast<Poco::Int64>(what.body.size()));
    session.sendRequest(head) << what.body << std::flush;
    Poco::Net::HTTPResponse response;
    auto& in = session.receiveResponse(response);
    answer got;
    got.status = response.getStatus();
    got.etag = response.get("Etag", "");
    got.body = ReadBody(in, response.getContentLength64(), clock_, deadline);
    session.setKeepAlive(response.getKeepAlive());
    return got;
  } catch (const Poco::Exception& e) {
    return Unanswered(what.call, e.displayText());
  } catch (const std::exception& e) {
    return Unanswered(what.call, e.what());
  }
}

}  // namespace samphire
