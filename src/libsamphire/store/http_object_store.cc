#include "store/http_object_store.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "store/store_json.h"
#include "store/store_metrics.h"

namespace samphire {

namespace {

std::string UrlEncode(const std::string& text) {
  std::string encoded;
  Poco::URI::encode(text, "!*'();:@&=+$,/?#[]%", encoded);
  return encoded;
}

std::string ObjectUri(const std::string& key) {
  return "/v1/objects/" + UrlEncode(key);
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
  BOOST_OUTCOME_TRY(reply, Call({store_call::kGet,
                                 ObjectUri(key),
                                 {},
                                 0,
                                 caller_.options().response_timeout}));
  const auto& etag = reply.etag;
  const bool is_number = !etag.empty() && etag.size() < 20 &&
                         std::all_of(etag.begin(), etag.end(), [](char c) {
                           return c >= '0' && c <= '9';
                         });
  if (!is_number)
    return CountError(
        MakeError(result_code::kStoreCorrupt, "invalid Etag of " + key));
  return store_object{key, std::stoull(etag), std::move(reply.body)};
}

result<std::uint64_t> http_object_store::Put(const std::string& key,
                                             const std::string& value,
                                             std::uint64_t expected) {
  BOOST_OUTCOME_TRY(reply,
                    Call({store_call::kPut, ObjectUri(key), value, expected,
                          caller_.options().response_timeout}));
  const auto version = ReadVersion(reply.body);
  // The write took effect, but without its version the caller has to read the
  // object back.
  if (!version)
    return CountError(
        IncompleteResponseError(store_http_call{.writes = true},
                                "response to a write contains no version"));
  return version.value();
}

result<void> http_object_store::Delete(const std::string& key,
                                       std::uint64_t expected) {
  BOOST_OUTCOME_TRY(reply, Call({store_call::kDelete,
                                 ObjectUri(key),
                                 {},
                                 expected,
                                 caller_.options().response_timeout}));
  static_cast<void>(reply);
  return Success();
}

result<std::vector<store_object>> http_object_store::List(
    const std::string& prefix) {
  return Read({store_call::kList,
               "/v1/objects?prefix=" + UrlEncode(prefix),
               {},
               0,
               caller_.options().response_timeout},
              ReadObjects);
}

result<watch_batch> http_object_store::Watch(const std::string& prefix,
                                             store_cursor cursor,
                                             milliseconds wait) {
  const auto uri =
      fmt::format("/v1/watch?prefix={}&after={}&era={}&wait_ms={}",
                  UrlEncode(prefix), cursor.revision, cursor.era, wait.count());
  return Read({store_call::kWatch,
               uri,
               {},
               0,
               wait + caller_.options().watch_timeout_margin},
              ReadBatch);
}

result<std::vector<instance_info>> http_object_store::Instances() {
  BOOST_OUTCOME_TRY(listing, Read({store_call::kInstances,
                                   "/v1/instances",
                                   {},
                                   0,
                                   caller_.options().response_timeout},
                                  ReadInstances));
  if (listing.unreadable > 0) {
    metrics_.Count("instances_unreadable_total", "", listing.unreadable);
    Log(log_level::kWarning, "instances-unreadable",
        {{"code", static_cast<int>(result_code::kStoreCorrupt)},
         {"instances", listing.unreadable}});
  }
  return std::move(listing.instances);
}

template <typename T>
result<T> http_object_store::Read(const call_spec& spec,
                                  result<T> (*parse)(const std::string& text)) {
  BOOST_OUTCOME_TRY(reply, Call(spec));
  auto value = parse(reply.body);
  if (!value)
    return CountError(value.error());
  return value;
}

result<store_http_reply> http_object_store::Call(const call_spec& spec) {
  CountStoreCall(metrics_, spec.call);
  store_http_call call{.method = MethodOf(spec.call),
                       .uri = spec.uri,
                       .headers = {},
                       .body = spec.body,
                       .writes = IsWrite(spec.call),
                       .timeout = spec.timeout};
  if (call.writes)
    call.headers.emplace_back("If-Match", std::to_string(spec.expected));
  auto reply = caller_.Call(call);
  if (!reply)
    return CountError(reply.error());
  if (reply.value().status != 200)
    return CountError(ErrorForStatus(call, reply.value().status));
  return reply;
}

error http_object_store::CountError(error failure) {
  CountStoreError(metrics_, failure.code);
  return failure;
}

}  // namespace samphire
