#include "gateway/request_reader.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <utility>

#include <fmt/format.h>

#include "base/decimal_text.h"
#include "config/class_matcher.h"
#include "config/ip_address.h"
#include "front/header_names.h"

namespace samphire {

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
// Bounds the length of an accepted idempotency key, in bytes.
constexpr std::size_t kMaxKeyLength = 255;
// Bounds the length of a caller's request id that is kept, in bytes.
constexpr std::size_t kMaxRequestIdLength = 128;

// Whether the text consists of printable ASCII without spaces.
bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

// Returns a random number of the process and a counter.
std::string NewRequestId() {
  static const std::uint64_t process = std::random_device{}();
  static std::atomic<std::uint64_t> count{0};
  return fmt::format("{:08x}-{}", process, ++count);
}

// The caller's own id is kept so that its logs can be correlated with those of
// the entry; an id that could corrupt a log line or a header is replaced.
std::string RequestIdOf(const Poco::Net::HTTPServerRequest& request) {
  const auto id = request.get(kHeaderRequestId, "");
  const bool usable =
      !id.empty() && id.size() <= kMaxRequestIdLength && IsPrintable(id);
  return usable ? id : NewRequestId();
}

// A caller may request less time than the class provides, or more up to the
// class's maximum. An invalid value is refused rather than replaced by the
// default: a caller that counts on ten seconds must not be given one.
result<milliseconds> DeadlineOf(const Poco::Net::HTTPServerRequest& request,
                                const request_class& rules) {
  if (!request.has(kHeaderDeadline))
    return rules.deadline;
  const auto requested = ParseDecimal(request.get(kHeaderDeadline));
  if (!requested || *requested == 0) {
    return MakeError(result_code::kBadDeadline,
                     "deadline is not a positive number of milliseconds");
  }
  const auto longest = static_cast<std::uint64_t>(
      std::max(rules.max_deadline, rules.deadline).count());
  return milliseconds(std::min(*requested, longest));
}

// Returns the idempotency key, which is mandatory and validated only if
// requests of the class may not be repeated.
result<std::string> KeyOf(const Poco::Net::HTTPServerRequest& request,
                          const request_class& rules) {
  const auto key = request.get(kHeaderIdempotencyKey, "");
  if (rules.repeatable)
    return key;
  if (!request.has(kHeaderIdempotencyKey))
    return MakeError(result_code::kIdempotencyKeyMissing);
  if (key.empty() || key.size() > kMaxKeyLength || !IsPrintable(key))
    return MakeError(result_code::kBadIdempotencyKey);
  return key;
}

}  // namespace

result<caller_request> ReadRequestHead(
    const Poco::Net::HTTPServerRequest& request,
    deployment_ptr present,
    const std::string& home_region,
    time_point now) {
  const std::string& uri = request.getURI();
  if (!uri.starts_with(kServicesPrefix))
    return MakeError(result_code::kUnknownPath, uri.substr(0, 64));
  const auto rest = uri.substr(kServicesPrefix.size());
  const auto slash = std::min(rest.find('/'), rest.size());

  caller_request read;
  read.service = present->FindService(rest.substr(0, slash));
  if (read.service == nullptr)
    return MakeError(result_code::kUnknownService, rest.substr(0, slash));
  read.method = request.getMethod();
  read.path = slash < rest.size() ? rest.substr(slash) : "/";
  read.request_class = MatchClass(*read.service, read.method, read.path);
  if (read.request_class == nullptr)
    return MakeError(result_code::kUnknownPath);
  BOOST_OUTCOME_TRY(time, DeadlineOf(request, *read.request_class));
  BOOST_OUTCOME_TRY(key, KeyOf(request, *read.request_class));

  read.id = RequestIdOf(request);
  read.headers = request;
  read.idempotency_key = key;
  read.arrived = now;
  read.deadline = now + time;
  read.forwarded = !home_region.empty();
  read.home_region = home_region;
  if (!read.forwarded) {
    const auto address =
        ParseIpAddress(request.clientAddress().host().toString());
    read.home_region =
        present->lookups().RegionOf(address.value_or(ip_address{}));
  }
  read.deployment = std::move(present);
  return read;
}

void SetBody(caller_request& request, std::string body) {
  request.body = std::move(body);
  request.fingerprint =
      FingerprintOf(request.service->name, request.request_class->name,
                    request.method, request.path, DigestOfBody(request.body));
}

}  // namespace samphire
