#ifndef PROXY_BODY_READER_H_
#define PROXY_BODY_READER_H_

#include <cstddef>
#include <cstdint>
#include <istream>
#include <span>

#include "base/result.h"
#include "proxy/body_framing.h"

namespace samphire {

// Reads one message body incrementally and detects whether it was complete. Not
// thread-safe; `input` must outlive the reader.
class body_reader {
 public:
  body_reader(std::istream& input, body_framing framing);

  // Waits for bytes, copies those that have arrived into `buffer` and returns
  // their number; 0 only at the actual end of the body. Fails with
  // kAnswerTruncated if the stream stops before the end, or if the framing is
  // invalid. For until_close_body every end of the stream is an end of the
  // body.
  result<std::size_t> Read(std::span<char> buffer);

 private:
  result<std::size_t> ReadFramed(const no_body& framing,
                                 std::span<char> buffer);
  result<std::size_t> ReadFramed(fixed_length_body& framing,
                                 std::span<char> buffer);
  result<std::size_t> ReadFramed(const chunked_body& framing,
                                 std::span<char> buffer);
  result<std::size_t> ReadFramed(const until_close_body& framing,
                                 std::span<char> buffer);
  result<std::size_t> ReadSome(std::span<char> buffer,
                               std::uint64_t& remaining);
  result<std::uint64_t> ReadChunkHead();
  result<void> SkipTrailer();

  std::istream& input_;
  body_framing framing_;
  // Bytes of the current chunk that have not been read yet.
  std::uint64_t chunk_remaining_ = 0;
  bool first_chunk_ = true;
  bool ended_ = false;
};

}  // namespace samphire

#endif  // PROXY_BODY_READER_H_
