#include "proxy/body_reader.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <string>
#include <utility>

namespace samphire {

namespace {

// No sender needs longer chunk heads or trailers; bounding them keeps a broken
// target from filling the memory.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr int kMaxTrailerLines = 64;

error Truncated() {
  return MakeError(result_code::kAnswerTruncated);
}

// One line without its line end; false if the stream ends before the line.
bool ReadLine(std::istream& input, std::string& line) {
  line.clear();
  for (int c = input.get(); c != std::char_traits<char>::eof();
       c = input.get()) {
    if (c == '\n') {
      if (!line.empty() && line.back() == '\r')
        line.pop_back();
      return true;
    }
    if (line.size() >= kMaxLineBytes)
      return false;
    line.push_back(static_cast<char>(c));
  }
  return false;
}

}  // namespace

body_reader::body_reader(std::istream& input, body_framing framing)
    : input_(input), framing_(framing) {}

// POCO's own chunked stream ends alike for a whole body and for a connection
// that closed between two chunks. A level cut in the middle would then pass
// for the whole answer, so the end is told here from the last chunk alone.
result<std::size_t> body_reader::Read(std::span<char> buffer) {
  if (ended_)
    return std::size_t{0};
  return std::visit([&](auto& framing) { return ReadPart(framing, buffer); },
                    framing_);
}

result<std::size_t> body_reader::ReadPart(const no_body& /*framing*/,
                                          std::span<char> /*buffer*/) {
  ended_ = true;
  return std::size_t{0};
}

result<std::size_t> body_reader::ReadPart(fixed_length_body& framing,
                                          std::span<char> buffer) {
  if (framing.length == 0) {
    ended_ = true;
    return std::size_t{0};
  }
  return ReadSome(buffer, framing.length);
}

result<std::size_t> body_reader::ReadPart(const chunked_body& /*framing*/,
                                          std::span<char> buffer) {
  if (chunk_left_ == 0) {
    BOOST_OUTCOME_TRY(length, ReadChunkHead());
    if (length == 0) {
      BOOST_OUTCOME_TRYV(SkipTrailer());
      ended_ = true;
      return std::size_t{0};
    }
    chunk_left_ = length;
  }
  return ReadSome(buffer, chunk_left_);
}

// Whether the close was orderly is for the owner of the connection to judge.
result<std::size_t> body_reader::ReadPart(const until_close_body& /*framing*/,
                                          std::span<char> buffer) {
  if (input_.peek() == std::char_traits<char>::eof()) {
    ended_ = true;
    return std::size_t{0};
  }
  std::uint64_t endless = buffer.size();
  return ReadSome(buffer, endless);
}

// Takes what has arrived rather than waiting for a full buffer, so that a slow
// stream reaches the caller as it comes.
result<std::size_t> body_reader::ReadSome(std::span<char> buffer,
                                          std::uint64_t& left) {
  if (input_.peek() == std::char_traits<char>::eof())
    return Truncated();
  const auto wanted = static_cast<std::streamsize>(
      std::min<std::uint64_t>(left, buffer.size()));
  const auto got = input_.readsome(buffer.data(), wanted);
  left -= static_cast<std::uint64_t>(got);
  return static_cast<std::size_t>(got);
}

result<std::uint64_t> body_reader::ReadChunkHead() {
  std::string line;
  // Each chunk but the first follows the line end of the one before.
  if (!std::exchange(first_chunk_, false) &&
      (!ReadLine(input_, line) || !line.empty()))
    return Truncated();
  if (!ReadLine(input_, line))
    return Truncated();
  const auto size_text = line.substr(0, line.find_first_of("; \t"));
  Poco::UInt64 length = 0;
  if (!Poco::NumberParser::tryParseHex64(size_text, length))
    return Truncated();
  return std::uint64_t{length};
}

result<void> body_reader::SkipTrailer() {
  std::string line;
  for (int i = 0; i < kMaxTrailerLines; ++i) {
    if (!ReadLine(input_, line))
      return Truncated();
    if (line.empty())
      return Success();
  }
  return Truncated();
}

}  // namespace samphire
