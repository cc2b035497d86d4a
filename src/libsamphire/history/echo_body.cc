#include "history/echo_body.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>
#include <xxhash.h>

#include "base/log.h"

namespace samphire {

namespace {

// Filler is made of words of this size, each a hash of its index.
constexpr std::uint64_t kWordBytes = 8;

std::uint64_t WordAt(std::uint64_t seed, std::uint64_t index) {
  return XXH64(&index, sizeof(index), seed);
}

}  // namespace

std::string EncodeEchoHeader(const echo_header& header) {
  return fmt::format(
      R"({{"request_id":{},"target":{},"run":{},"measured_us":{},"bytes":{}}})"
      "\n",
      JsonQuote(header.request_id), JsonQuote(header.target), header.run,
      header.measured_us, header.bytes);
}

std::optional<echo_header> DecodeEchoHeader(std::string_view line) {
  try {
    Poco::JSON::Parser parser;
    const auto object =
        parser.parse(std::string(line)).extract<Poco::JSON::Object::Ptr>();
    return echo_header{
        .request_id = object->getValue<std::string>("request_id"),
        .target = object->getValue<std::string>("target"),
        .run = object->getValue<std::int64_t>("run"),
        .measured_us = object->getValue<std::int64_t>("measured_us"),
        .bytes = object->getValue<std::int64_t>("bytes"),
    };
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

std::string EchoFiller(std::string_view request_id,
                       std::uint64_t offset,
                       std::size_t size) {
  const auto seed = XXH64(request_id.data(), request_id.size(), 0);
  std::string filler(size, '\0');
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < size; ++i) {
    const auto position = offset + i;
    if (i == 0 || position % kWordBytes == 0)
      word = WordAt(seed, position / kWordBytes);
    filler[i] = static_cast<char>(word >> (8 * (position % kWordBytes)));
  }
  return filler;
}

}  // namespace samphire
