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

constexpr int kReadBytes = 16384;
constexpr const char* kResultHeader = "Samphirewinch-Result";

ctl_answer Failed(call_failure failure, const std::string& detail) {
  ctl_answer answer;
  answer.outcome = MakeError(result_code::kEntryUnreachable, detail);
  answer.failure = failure;
  return answer;
}

std::string TargetOf(const ctl_call& call) {
  Poco::URI uri;
  for (const auto& [name, value] : call.parameters)
    uri.addQueryParameter(name, value);
  const auto query = uri.getRawQuery();
  return query.empty() ? call.path : call.path + "?" + query;
}

// Entries say their code in a header, whatever the body is.
std::optional<result_code> CodeOf(const Poco::Net::HTTPResponse& response) {
  const auto header = response.get(kResultHeader, "");
  int number = 0;
  const auto [end, failure] =
      std::from_chars(header.data(), header.data() + header.size(), number);
  return failure == std::errc() ? ResultCodeOf(number) : std::nullopt;
}

// An answer without a code came from something else than an entry, or was cut;
// either way nothing is known of the call.
ctl_answer Understood(const Poco::Net::HTTPResponse& response,
                      const std::string& text,
                      const std::string& url) {
  const auto code = CodeOf(response);
  const auto parsed = ReadJsonText(text);
  if (!code || (*code == result_code::kOk && !parsed))
    return Failed(call_failure::kAnswerLost, url + ": not an entry's answer");
  ctl_answer answer;
  answer.outcome = MakeError(*code);
  if (parsed) {
    answer.body = parsed.value();
    answer.outcome.detail = answer.body->optValue<std::string>("detail", "");
    answer.outcome.pointer = answer.body->optValue<std::string>("pointer", "");
  }
  return answer;
}

std::string ReadAll(std::istream& stream) {
  std::string text;
  std::string piece(kReadBytes, '\0');
  while (stream && text.size() <= kMaxJsonBytes) {
    stream.read(piece.data(), kReadBytes);
    text.append(piece, 0, static_cast<std::size_t>(stream.gcount()));
  }
  return text;
}

// Refusals of an entry that did not look at the call: another may take it.
bool IsTurnedAway(const ctl_answer& answer) {
  if (answer.failure)
    return false;
  const auto code = answer.outcome.code;
  return code == result_code::kEntryLeaving ||
         code == result_code::kTooManyConnections ||
         code == result_code::kNoConfiguration;
}

ctl_answer Exchange(Poco::Net::HTTPClientSession& session,
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
      return Failed(call_failure::kAnswerLost, url + ": answer cut short");
    return Understood(response, text, url);
  } catch (const Poco::Exception& exception) {
    return Failed(call_failure::kAnswerLost,
                  fmt::format("{}: {}", url, exception.displayText()));
  }
}

}  // namespace

operator_client::operator_client(std::vector<std::string> urls,
                                 std::string token,
                                 milliseconds timeout)
    : urls_(std::move(urls)), token_(std::move(token)), timeout_(timeout) {}

ctl_answer operator_client::Read(const ctl_call& call) const {
  auto answer = Failed(call_failure::kNotSent, "no address given");
  for (const auto& url : urls_) {
    answer = CallOne(url, call);
    if (!answer.failure && !InfoOf(answer.outcome.code).retryable)
      break;
  }
  return answer;
}

// Sent twice, a change could be accepted twice, or refused the second time for
// what the first did. So after a lost answer nothing is sent again; the
// command finds out instead.
ctl_answer operator_client::Change(const ctl_call& call) const {
  auto answer = Failed(call_failure::kNotSent, "no address given");
  for (const auto& url : urls_) {
    answer = CallOne(url, call);
    if (answer.failure != call_failure::kNotSent && !IsTurnedAway(answer))
      break;
  }
  return answer;
}

// An entry that has just gone silent may be frozen, and each question to it
// would then cost a whole timeout.
operator_client operator_client::AskingLast(const std::string& url) const {
  auto reordered = *this;
  std::stable_partition(reordered.urls_.begin(), reordered.urls_.end(),
                        [&url](const auto& one) { return one != url; });
  return reordered;
}

ctl_answer operator_client::CallOne(const std::string& url,
                                    const ctl_call& call) const {
  auto answer = Send(url, call);
  answer.url = url;
  return answer;
}

// Connecting is a step of its own, since only its failure proves that nothing
// was sent.
ctl_answer operator_client::Send(const std::string& url,
                                 const ctl_call& call) const {
  const Poco::Timespan timeout(microseconds(timeout_).count());
  try {
    const Poco::URI uri(url);
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(uri.getHost(), uri.getPort()),
                   timeout);
    // A session sets its own timeout only on sockets that it connects itself.
    socket.setReceiveTimeout(timeout);
    socket.setSendTimeout(timeout);
    Poco::Net::HTTPClientSession session(socket);
    session.setKeepAlive(false);
    Poco::Net::HTTPRequest request(call.method, TargetOf(call),
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
