#include "gateway/response_stream.h"

#include <array>
#include <chrono>

namespace samphire {

namespace {

// Bounds what is read from the target and written to the caller at once.
constexpr std::size_t kReadBufferBytes = 16384;

}  // namespace

response_stream_result StreamResponse(http_exchange& exchange,
                                      const Poco::Net::HTTPResponse& head,
                                      std::string_view first,
                                      const response_status& status,
                                      response_sink& sink) {
  response_stream_result end;
  sink.Begin(head, exchange.framing(), status);
  bool taken = sink.Write(first);
  std::array<char, kReadBufferBytes> buffer;
  while (taken) {
    const auto started = std::chrono::steady_clock::now();
    const auto got = exchange.ReadBody(buffer);
    end.target_time += std::chrono::steady_clock::now() - started;
    if (!got) {
      end.code = got.error().code;
      sink.Abort();
      return end;
    }
    if (got.value() == 0) {
      sink.End();
      return end;
    }
    taken = sink.Write({buffer.data(), got.value()});
  }
  end.code = result_code::kCallerGone;
  sink.Abort();
  return end;
}

}  // namespace samphire
