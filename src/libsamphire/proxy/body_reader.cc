#include "proxy/body_reader.h"

#include <Poco/Ascii.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <string>
#include <utility>

#include "proxy/head_syntax.h"

namespace samphire {

namespace {

// Bounds of one chunk head or trailer line, and of the lines of a trailer. No
// sender needs more; without bounds a faulty target could exhaust the memory.
constexpr std::size_t kMaxLineBytes = 4096;
constexpr int kMaxTrailerLines = 64;

error Truncated() {
  return MakeError(result_code::kAnswerTruncated);
}

// Reads one line and removes its line end. Returns false if the stream ends
// within the line, the line is too long or its end lacks the carriage return.
bool ReadLine(std::istream& input, std::string& line) {
  line.clear();
  for (int c = input.get(); c != std::char_traits<char>::eof();
       c = input.get()) {
    if (c == '\n') {
      if (line.empty() || line.back() != '\r')
        return false;
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

// POCO's own chunked stream ends in the same way for a complete body and for a
// connection that closed between two chunks, so a truncated reading would pass
// for the complete response. Here only the last chunk marks the end.
result<std::size_t> body_reader::Read(std::span<char> buffer) {
  if (ended_)
    return std::size_t{0};
  return std::visit([&](auto& framing) { return ReadFramed(framing, buffer); },
                    framing_);
}

result<std::size_t> body_reader::ReadFramed(const no_body& /*framing*/,
                                            std::span<char> /*buffer*/) {
  ended_ = true;
  return std::size_t{0};
}

result<std::size_t> body_reader::ReadFramed(fixed_length_body& framing,
                                            std::span<char> buffer) {
  if (framing.length == 0) {
    ended_ = true;
    return std::size_t{0};
  }
  return ReadSome(buffer, framing.length);
}

result<std::size_t> body_reader::ReadFramed(const chunked_body& /*framing*/,
                                            std::span<char> buffer) {
  if (chunk_remaining_ == 0) {
    BOOST_OUTCOME_TRY(length, ReadChunkHead());
    if (length == 0) {
      BOOST_OUTCOME_TRYV(SkipTrailer());
      ended_ = true;
      return std::size_t{0};
    }
    chunk_remaining_ = length;
  }
  return ReadSome(buffer, chunk_remaining_);
}

// The stream doesn't show whether the close was orderly; the owner of the
// connection has to check that.
result<std::size_t> body_reader::ReadFramed(const until_close_body& /*framing*/,
                                            std::span<char> buffer) {
  if (input_.peek() == std::char_traits<char>::eof()) {
    ended_ = true;
    return std::size_t{0};
  }
  std::uint64_t unlimited = buffer.size();
  return ReadSome(buffer, unlimited);
}

// Returns the bytes that have arrived instead of waiting for a full buffer, so
// that a slow stream is forwarded to the caller without delay.
result<std::size_t> body_reader::ReadSome(std::span<char> buffer,
                                          std::uint64_t& remaining) {
  if (input_.peek() == std::char_traits<char>::eof())
    return Truncated();
  const auto requested = static_cast<std::streamsize>(
      std::min<std::uint64_t>(remaining, buffer.size()));
  const auto bytes_read = input_.readsome(buffer.data(), requested);
  remaining -= static_cast<std::uint64_t>(bytes_read);
  return static_cast<std::size_t>(bytes_read);
}

result<std::uint64_t> body_reader::ReadChunkHead() {
  std::string line;
  // Each chunk but the first is preceded by the line end of the previous one.
  if (!std::exchange(first_chunk_, false) &&
      (!ReadLine(input_, line) || !line.empty()))
    return Truncated();
  if (!ReadLine(input_, line))
    return Truncated();
  const auto size_text = line.substr(0, line.find(';'));
  Poco::UInt64 length = 0;
  // The parser also takes a prefix "0x".
  if (!std::ranges::all_of(size_text, Poco::Ascii::isHexDigit) ||
      !Poco::NumberParser::tryParseHex64(size_text, length) ||
      !IsFieldText(line))
    return Truncated();
  return std::uint64_t{length};
}

// A chunk head that was spoilt into a size of zero is followed by the bytes of
// its chunk in place of a trailer.
result<void> body_reader::SkipTrailer() {
  std::string line;
  for (int i = 0; i < kMaxTrailerLines; ++i) {
    if (!ReadLine(input_, line))
      return Truncated();
    if (line.empty())
      return Success();
    if (!IsFieldLine(line))
      return Truncated();
  }
  return Truncated();
}

}  // namespace samphire
