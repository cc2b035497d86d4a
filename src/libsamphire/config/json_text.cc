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

// Where reading stopped, as an editor shows it.
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

std::optional<std::size_t> FirstNonUtf8(std::string_view text) {
  for (std::size_t at = 0; at < text.size();) {
    const auto length = Utf8Length(text.substr(at));
    if (length == 0)
      return at;
    at += length;
  }
  return std::nullopt;
}

// Cheap bounds first: a parser never sees a text that is too large to hold or
// that isn't text at all.
result<void> CheckBytes(std::string_view text) {
  if (text.find_first_not_of(" \t\r\n") == std::string_view::npos)
    return MakeError(result_code::kFileEmpty, "nothing but white space");
  if (text.size() > kMaxJsonBytes) {
    return MakeError(result_code::kFileTooLarge,
                     fmt::format("{} bytes, at most {} are read", text.size(),
                                 kMaxJsonBytes));
  }
  if (const auto at = FirstNonUtf8(text)) {
    return MakeError(result_code::kNotUtf8,
                     "not UTF-8 after " + PositionText(text, *at));
  }
  return Success();
}

// How far the parser read; it stops right behind the byte that it refuses.
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

// The library's parser does the reading; what it lets pass (a key named twice,
// depth, strings without bound) the handler refuses as soon as it is seen.
result<Poco::JSON::Object::Ptr> ReadJsonText(std::string_view text) {
  BOOST_OUTCOME_TRYV(CheckBytes(text));
  std::istringstream stream{std::string(text)};
  Poco::SharedPtr<strict_json_handler> handler = new strict_json_handler;
  Poco::JSON::Parser parser(handler);
  try {
    const auto value = parser.parse(stream);
    if (value.type() == typeid(Poco::JSON::Object::Ptr))
      return value.extract<Poco::JSON::Object::Ptr>();
    return MakeError(result_code::kSchemaViolation, "not an object");
  } catch (const strict_json_refusal& refusal) {
    return refusal.reason();
  } catch (const Poco::JSON::JSONException& exception) {
    return SyntaxError(text, OffsetOf(stream), exception.message(),
                       handler->pointer());
  } catch (const Poco::Exception& exception) {
    // The parser's only other complaint is a number that no type holds.
    return MakeError(result_code::kValueOutOfRange, exception.message(),
                     handler->pointer());
  }
}

}  // namespace samphire
