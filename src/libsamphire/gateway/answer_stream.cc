#include "gateway/answer_stream.h"

#include <array>
#include <chrono>

namespace samphire {

namespace {

constexpr std::size_t kPieceBytes = 16384;

}  // namespace

answer_stream_end StreamAnswer(http_exchange& exchange,
                               const Poco::Net::HTTPResponse& head,
                               std::string_view first,
                               const response_status& note,
                               answer_sink& sink) {
  answer_stream_end end;
  sink.Begin(head, exchange.framing(), note);
  bool taken = sink.Write(first);
  std::array<char, kPieceBytes> piece;
  while (taken) {
    const auto started = std::chrono::steady_clock::now();
    const auto got = exchange.ReadBody(piece);
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
    taken = sink.Write({piece.data(), got.value()});
  }
  end.code = result_code::kCallerGone;
  sink.Abort();
  return end;
}

}  // namespace samphire
