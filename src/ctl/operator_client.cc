#include "ctl/operator_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <istream>
#include <optional>
#include <utility>

#include "config/json_text.h"

namespace samphire {

namespace {

// Size of the buffer for reading a response body.
constexpr int kReadBytes = 16384;
constexpr const char* kResultHeader = "Samphirewinch-Result";

// Returns the outcome of a call without a usable response.
ctl_response Failed(call_failure failure, const std::string& detail) {
  ctl_response answer;
  answer.outcome = MakeError(result_code::kEntryUnreachable, detail);
  answer.failure = failure;
  return answer;
}

// Returns the path with the encoded query.
std::string RequestTarget(const ctl_call& call) {
  Poco::URI uri;
  for (const auto& [name, value] : call.parameters)
    uri.addQueryParameter(name, value);
  const auto query = uri.getRawQuery();
  return query.empty() ? call.path : call.path + "?" + query;
}

// Returns the result code of a response. Entries send it in a header,
// independent of the body.
std::optional<result_code> ResultCodeFromHeader(
    const Poco::Net::HTTPResponse& response) {
  const auto header = response.get(kResultHeader, "");
  int number = 0;
  const auto [end, failure] =
      std::from_chars(header.data(), header.data() + header.size(), number);
  return failure == std::errc() ? ResultCodeOf(number) : std::nullopt;
}

// Converts an HTTP response. A response without a result code came from
// something other than an entry, or was truncated; in both cases it is unknown
// whether the call was executed.
ctl_response ParseResponse(const Poco::Net::HTTPResponse& response,
                           const std::string& text,
                           const std::string& url) {
  const auto code = ResultCodeFromHeader(response);
  const auto parsed = ReadJsonText(text);
  if (!code || (*code == result_code::kOk && !parsed))
    return Failed(call_failure::kResponseLost,
                  url + ": response is not from an entry or is truncated");
  ctl_response answer;
  answer.outcome = MakeError(*code);
  if (parsed) {
    answer.body = parsed.value();
    answer.outcome.detail = answer.body->optValue<std::string>("detail", "");
    answer.outcome.pointer = answer.body->optValue<std::string>("pointer", "");
  }
  return answer;
}

// Reads the body to its end, or until it exceeds kMaxJsonBytes.
std::string ReadAll(std::istream& stream) {
  std::string text;
  std::string piece(kReadBytes, '\0');
  while (stream && text.size() <= kMaxJsonBytes) {
    stream.read(piece.data(), kReadBytes);
    text.append(piece, 0, static_cast<std::size_t>(stream.gcount()));
  }
  return text;
}

// Returns whether an entry refused the call before processing it, so that
// another entry may safely be called.
bool IsRefusedUnprocessed(const ctl_response& answer) {
  if (answer.failure)
    return false;
  const auto code = answer.outcome.code;
  return code == result_code::kEntryLeaving ||
         code == result_code::kTooManyConnections ||
         code == result_code::kNoConfiguration;
}

// Sends the request on a connected session and reads the response. Any failure
// from here on leaves it unknown whether the call was executed.
ctl_response Exchange(Poco::Net::HTTPClientSession& session,
                      Poco::Net::HTTPRequest& request,
                      const std::string& body,
                      const std::string& url) {
  try {
    auto& out = session.sendRequest(request);
    out << body << std::flush;
    Poco::Net::HTTPResponse response;
    const auto text = ReadAll(session.receiveResponse(response));
    const auto announced = response.getContentLength64();
    if (announced > static_cast<Poco::Int64>(text.size()))
      return Failed(call_failure::kResponseLost,
                    url + ": response shorter than its Content-Length");
    return ParseResponse(response, text, url);
  } catch (const Poco::Exception& exception) {
    return Failed(call_failure::kResponseLost,
                  fmt::format("{}: {}", url, exception.displayText()));
  }
}

}  // namespace

operator_client::operator_client(std::vector<std::string> urls,
                                 std::string token,
                                 milliseconds timeout)
    : urls_(std::move(urls)), token_(std::move(token)), timeout_(timeout) {}

ctl_response operator_client::Read(const ctl_call& call) const {
  auto answer = Failed(call_failure::kNotSent, "no entry address given");
  for (const auto& url : urls_) {
    answer = CallEntry(url, call);
    if (!answer.failure && !InfoOf(answer.outcome.code).retryable)
      break;
  }
  return answer;
}

// A change that is sent twice could be accepted twice, or be refused the second
// time because the first took effect. So nothing is resent after a lost
// response; the command looks up the outcome instead.
ctl_response operator_client::Change(const ctl_call& call) const {
  auto answer = Failed(call_failure::kNotSent, "no entry address given");
  for (const auto& url : urls_) {
    answer = CallEntry(url, call);
    if (answer.failure != call_failure::kNotSent &&
        !IsRefusedUnprocessed(answer))
      break;
  }
  return answer;
}

// An entry that has just stopped responding may be frozen, and each further
// call to it would cost a full timeout.
operator_client operator_client::WithUrlLast(const std::string& url) const {
  auto reordered = *this;
  std::stable_partition(reordered.urls_.begin(), reordered.urls_.end(),
                        [&url](const auto& one) { return one != url; });
  return reordered;
}

ctl_response operator_client::CallEntry(const std::string& url,
                                        const ctl_call& call) const {
  auto answer = Send(url, call);
  answer.url = url;
  return answer;
}

// Connects in a separate step, because only a failure to connect proves that
// nothing was sent.
ctl_response operator_client::Send(const std::string& url,
                                   const ctl_call& call) const {
  const Poco::Timespan timeout(microseconds(timeout_).count());
  try {
    const Poco::URI uri(url);
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(uri.getHost(), uri.getPort()),
                   timeout);
    // Poco applies the timeout of a session only to sockets that the session
    // connects itself.
    socket.setReceiveTimeout(timeout);
    socket.setSendTimeout(timeout);
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request(call.method, RequestTarget(call),
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(uri.getHost(), uri.getPort());
    if (!token_.empty())
      request.set("Authorization", "Bearer " + token_);
    request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    return Exchange(session, request, call.body, url);
  } catch (const Poco::Exception& exception) {
    return Failed(call_failure::kNotSent,
                  fmt::format("{}: {}", url, exception.displayText()));
  }
}

}  // namespace samphire
