#include "base/deflate.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <istream>
#include <sstream>

namespace samphire {

namespace {

// The fastest level: small instances compress while requests wait for their
// processor.
constexpr int kLevel = 1;
// Size of one read of decompressed bytes.
constexpr std::size_t kReadBytes = 16384;

}  // namespace

std::string Deflate(const std::string& bytes) {
  std::ostringstream out;
  Poco::DeflatingOutputStream deflating(
      out, Poco::DeflatingStreamBuf::STREAM_ZLIB, kLevel);
  deflating.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
  deflating.close();
  return std::move(out).str();
}

// The size is checked while reading: a few forged bytes could otherwise expand
// until the process runs out of memory.
std::optional<std::string> Inflate(const std::string& compressed,
                                   std::size_t max_bytes) {
  std::istringstream in(compressed);
  Poco::InflatingInputStream inflating(in);
  // The stream reports malformed input as its end unless it throws.
  inflating.exceptions(std::ios::badbit);
  std::string bytes;
  std::array<char, kReadBytes> buffer{};
  try {
    while (inflating.good()) {
      inflating.read(buffer.data(), buffer.size());
      bytes.append(buffer.data(), static_cast<std::size_t>(inflating.gcount()));
      if (bytes.size() > max_bytes)
        return std::nullopt;
    }
  } catch (const Poco::Exception&) {
    return std::nullopt;
  } catch (const std::ios_base::failure&) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace samphire
