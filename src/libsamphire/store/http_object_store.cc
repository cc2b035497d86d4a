#include "store/http_object_store.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "store/store_json.h"
#include "store/store_metrics.h"

namespace samphire {

namespace {

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

}  // namespace

http_object_store::http_object_store(http_store_options options,
                                     const clock_source& clock,
                                     metrics& metrics)
    : caller_(std::move(options), clock), metrics_(metrics) {}

result<store_object> http_object_store::Get(const std::string& key) {
  BOOST_OUTCOME_TRY(got, Call({store_call::kGet,
                               ObjectUri(key),
                               {},
                               0,
                               caller_.options().answer_timeout}));
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
                               expected, caller_.options().answer_timeout}));
  const auto version = ReadVersion(got.body);
  // It took effect, but without its version the caller must read it back.
  if (!version)
    return Counted(Unanswered(store_http_call{.writes = true},
                              "answer without a version"));
  return version.value();
}

result<void> http_object_store::Delete(const std::string& key,
                                       std::uint64_t expected) {
  BOOST_OUTCOME_TRY(got, Call({store_call::kDelete,
                               ObjectUri(key),
                               {},
                               expected,
                               caller_.options().answer_timeout}));
  static_cast<void>(got);
  return Success();
}

result<std::vector<store_object>> http_object_store::List(
    const std::string& prefix) {
  return Read({store_call::kList,
               "/v1/objects?prefix=" + Encode(prefix),
               {},
               0,
               caller_.options().answer_timeout},
              ReadObjects);
}

result<watch_batch> http_object_store::Watch(const std::string& prefix,
                                             std::uint64_t cursor,
                                             milliseconds wait) {
  const auto uri = fmt::format("/v1/watch?prefix={}&after={}&wait_ms={}",
                               Encode(prefix), cursor, wait.count());
  return Read(
      {store_call::kWatch, uri, {}, 0, wait + caller_.options().watch_margin},
      ReadBatch);
}

result<std::vector<instance_info>> http_object_store::Instances() {
  return Read({store_call::kInstances,
               "/v1/instances",
               {},
               0,
               caller_.options().answer_timeout},
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

result<store_http_reply> http_object_store::Call(const request& what) {
  CountStoreCall(metrics_, what.call);
  store_http_call call{.method = MethodOf(what.call),
                       .uri = what.uri,
                       .headers = {},
                       .body = what.body,
                       .writes = Writes(what.call),
                       .timeout = what.timeout};
  if (call.writes)
    call.headers.emplace_back("If-Match", std::to_string(what.expected));
  auto got = caller_.Call(call);
  if (!got)
    return Counted(got.error());
  if (got.value().status != 200)
    return Counted(RefusalOf(call, got.value().status));
  return got;
}

error http_object_store::Counted(error why) {
  CountStoreError(metrics_, why.code);
  return why;
}

}  // namespace samphire
