#ifndef PROXY_HTTP_EXCHANGE_H_
#define PROXY_HTTP_EXCHANGE_H_

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <istream>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/clock_source.h"
#include "base/result.h"
#include "proxy/body_reader.h"
#include "proxy/body_source.h"
#include "proxy/caller_watch.h"
#include "proxy/connection_pool.h"
#include "proxy/exchange_options.h"
#include "proxy/exchange_stage.h"
#include "proxy/socket_input_buf.h"

namespace samphire {

// One request to a target or peer and its answer, on a connection that goes
// back to the pool only after the answer was read to its end. Destroying it
// earlier closes the connection, which cancels the work.
class http_exchange {
 public:
  http_exchange(connection_pool& pool,
                std::string address,
                const caller_watch& caller,
                time_point deadline,
                exchange_options options = {});
  ~http_exchange();
  http_exchange(const http_exchange&) = delete;
  http_exchange& operator=(const http_exchange&) = delete;

  // `fresh` asks for a new connection: a request that may not be repeated must
  // not be lost to a connection that the other side was just closing.
  result<void> Connect(bool fresh);
  // `rest` is what follows `body`, if that isn't all. Where it fails, so does
  // the request, with its reason; the other side then never sees a whole one.
  result<void> Send(const Poco::Net::HTTPRequest& head,
                    std::string_view body,
                    body_source* rest = nullptr);
  result<Poco::Net::HTTPResponse*> ReadHead();
  // 0 at the end of the whole body.
  result<std::size_t> ReadBody(std::span<char> buffer);

  exchange_stage stage() const { return stage_; }
  // Whether the failure came on a reused connection before any byte of an
  // answer: the likely cause is that the target had closed it when idle.
  bool failed_on_stale_connection() const { return stale_; }
  const body_framing& framing() const { return framing_; }

 private:
  result<void> SendBytes(std::string_view bytes);
  result<void> SendRest(body_source& rest, bool chunked);
  error FailureOf(result_code otherwise) const;
  result<void> ReadOneHead();
  bool IsForAnother() const;
  result<void> SkipAnswer();

  const exchange_options options_;
  connection_pool& pool_;
  std::string address_;
  const caller_watch& caller_;
  time_point deadline_;
  exchange_stage stage_ = exchange_stage::kConnecting;
  std::optional<connection_pool::pooled_connection> connection_;
  std::unique_ptr<socket_input_buf> buffer_;
  std::unique_ptr<std::istream> input_;
  std::optional<Poco::Net::HTTPResponse> head_;
  body_framing framing_;
  std::optional<body_reader> body_;
  bool head_request_ = false;
  bool keep_alive_ = false;
  bool whole_ = false;
  bool stale_ = false;
};

}  // namespace samphire

#endif  // PROXY_HTTP_EXCHANGE_H_
