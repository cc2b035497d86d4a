#ifndef PROXY_BODY_READER_H_
#define PROXY_BODY_READER_H_

#include <cstddef>
#include <cstdint>
#include <istream>
#include <span>

#include "base/result.h"
#include "proxy/body_framing.h"

namespace samphire {

// Reads the body of one answer piece by piece and knows whether it was whole.
class body_reader {
 public:
  body_reader(std::istream& input, body_framing framing);

  // Fills `buffer` with what is there; 0 only at the true end of the body.
  // A body that stops before its end is kAnswerTruncated.
  result<std::size_t> Read(std::span<char> buffer);

 private:
  result<std::size_t> ReadPart(const no_body& framing, std::span<char> buffer);
  result<std::size_t> ReadPart(fixed_length_body& framing,
                               std::span<char> buffer);
  result<std::size_t> ReadPart(const chunked_body& framing,
                               std::span<char> buffer);
  result<std::size_t> ReadPart(const until_close_body& framing,
                               std::span<char> buffer);
  result<std::size_t> ReadSome(std::span<char> buffer, std::uint64_t& left);
  result<std::uint64_t> ReadChunkHead();
  result<void> SkipTrailer();

  std::istream& input_;
  body_framing framing_;
  std::uint64_t chunk_left_ = 0;
  bool first_chunk_ = true;
  bool ended_ = false;
};

}  // namespace samphire

#endif  // PROXY_BODY_READER_H_
