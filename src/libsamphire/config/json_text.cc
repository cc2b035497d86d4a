#include "config/json_text.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "base/utf8.h"
#include "config/strict_json_handler.h"

namespace samphire {

namespace {

// Returns the position of the last byte before `offset` as line and column,
// both counted from 1 as editors do; columns are counted in bytes.
std::string PositionText(std::string_view text, std::size_t offset) {
  const auto before = text.substr(0, std::min(offset, text.size()));
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const auto line_start = before.rfind('\n');
  const auto column = line_start == std::string_view::npos
                          ? before.size()
                          : before.size() - line_start - 1;
  return fmt::format("line {}, column {}", line,
                     std::max<std::size_t>(column, 1));
}

// Returns the offset of the first byte that is not part of valid UTF-8.
std::optional<std::size_t> FirstInvalidUtf8(std::string_view text) {
  for (std::size_t at = 0; at < text.size();) {
    const auto length = Utf8SequenceLength(text.substr(at));
    if (length == 0)
      return at;
    at += length;
  }
  return std::nullopt;
}

// Cheap checks that precede parsing, so that the parser never processes a text
// that is too large or that is not UTF-8.
result<void> CheckBytes(std::string_view text) {
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos)
    return MakeError(result_code::kFileEmpty,
                     "the text holds nothing but white space");
  if (text.size() > kMaxJsonBytes) {
    return MakeError(result_code::kFileTooLarge,
                     fmt::format("{} bytes exceed the limit of {} bytes",
                                 text.size(), kMaxJsonBytes));
  }
  if (const auto at = FirstInvalidUtf8(text)) {
    return MakeError(result_code::kNotUtf8,
                     "invalid UTF-8 after " + PositionText(text, *at));
  }
  return Success();
}

// Returns how far the parser has read; it stops directly after the byte that it
// rejects.
std::size_t OffsetOf(const std::istringstream& stream) {
  return static_cast<std::size_t>(
      stream.rdbuf()->pubseekoff(0, std::ios::cur, std::ios::in));
}

error SyntaxError(std::string_view text,
                  std::size_t offset,
                  const std::string& what,
                  const std::string& pointer) {
  return MakeError(result_code::kJsonSyntax,
                   fmt::format("{}: {}", PositionText(text, offset), what),
                   pointer);
}

}  // namespace

// Parses with POCO. What its parser accepts but this program does not
// (duplicate keys, deep nesting, long strings) is rejected by the handler as
// soon as it occurs.
result<Poco::JSON::Object::Ptr> ReadJsonText(std::string_view text) {
  BOOST_OUTCOME_TRYV(CheckBytes(text));
  std::istringstream stream{std::string(text)};
  Poco::SharedPtr<strict_json_handler> handler = new strict_json_handler;
  Poco::JSON::Parser parser(handler);
  try {
    const auto value = parser.parse(stream);
    if (value.type() == typeid(Poco::JSON::Object::Ptr))
      return value.extract<Poco::JSON::Object::Ptr>();
    return MakeError(result_code::kSchemaViolation, "expected a JSON object");
  } catch (const strict_json_exception& rejected) {
    return rejected.reason();
  } catch (const Poco::JSON::JSONException& exception) {
    return SyntaxError(text, OffsetOf(stream), exception.message(),
                       handler->pointer());
  } catch (const Poco::Exception& exception) {
    // The only other error of the parser is a number that fits into no type.
    return MakeError(result_code::kValueOutOfRange, exception.message(),
                     handler->pointer());
  }
}

}  // namespace samphire
