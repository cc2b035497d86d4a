#include "history/history_codec.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <optional>

#include "base/log.h"

namespace samphire {

namespace {

// Select the name table of an enum that occurs in events.
constexpr const enum_names<run_outcome, 3>& NamesFor(run_outcome) {
  return kRunOutcomeNames;
}
constexpr const enum_names<run_claim, 4>& NamesFor(run_claim) {
  return kRunClaimNames;
}
constexpr const enum_names<answer_body, 7>& NamesFor(answer_body) {
  return kAnswerBodyNames;
}

// Writes the fields of an event as JSON in the order of its Fields().
class field_writer {
 public:
  explicit field_writer(std::string_view event)
      : line_(fmt::format(R"({{"event":"{}")", event)) {}

  void operator()(std::string_view name, std::int64_t value) {
    line_ += fmt::format(R"(,"{}":{})", name, value);
  }
  void operator()(std::string_view name, bool value) {
    line_ += fmt::format(R"(,"{}":{})", name, value);
  }
  void operator()(std::string_view name, const std::string& value) {
    line_ += fmt::format(R"(,"{}":{})", name, JsonQuote(value));
  }
  template <typename E>
  requires std::is_enum_v<E>
  void operator()(std::string_view name, E value) {
    line_ += fmt::format(R"(,"{}":"{}")", name, NameOf(NamesFor(value), value));
  }

  std::string line() const { return line_ + "}"; }

 private:
  std::string line_;
};

// Reads the fields of an event. Keeps the first error instead of throwing, so
// that the caller can report it with the number of the line.
class field_reader {
 public:
  explicit field_reader(const Poco::JSON::Object& object) : object_(object) {}

  void operator()(const char* name, std::int64_t& value) {
    const auto found = Consume(name);
    if (found.isInteger())
      value = found.convert<std::int64_t>();
    else
      Fail(name);
  }
  void operator()(const char* name, bool& value) {
    const auto found = Consume(name);
    if (found.isBoolean())
      value = found.convert<bool>();
    else
      Fail(name);
  }
  void operator()(const char* name, std::string& value) {
    const auto found = Consume(name);
    if (found.isString())
      value = found.convert<std::string>();
    else
      Fail(name);
  }
  template <typename E>
  requires std::is_enum_v<E>
  void operator()(const char* name, E& value) {
    std::string text;
    (*this)(name, text);
    const auto known = ValueOf(NamesFor(value), text);
    if (known)
      value = *known;
    else
      Fail(name);
  }

  // Returns the name of the first invalid field, if any. A field other than
  // "event" and those of the event is an error, too.
  std::optional<std::string> first_error() const {
    if (!first_error_ && object_.size() != consumed_ + 1)
      return "unknown field";
    return first_error_;
  }

 private:
  Poco::Dynamic::Var Consume(const char* name) {
    ++consumed_;
    return object_.get(name);
  }
  void Fail(const char* name) {
    if (!first_error_)
      first_error_ = name;
  }

  const Poco::JSON::Object& object_;
  std::size_t consumed_ = 0;
  std::optional<std::string> first_error_;
};

// Decodes an event of the known type E.
template <typename E>
result<history_event> DecodeAs(const Poco::JSON::Object& object) {
  E event;
  field_reader reader(object);
  E::Fields(event, reader);
  if (const auto first_error = reader.first_error())
    return MakeError(result_code::kSchemaViolation, *first_error);
  return history_event(std::move(event));
}

// Finds the event type called `name` among the alternatives from I on.
template <std::size_t I = 0>
result<history_event> DecodeNamed(const std::string& name,
                                  const Poco::JSON::Object& object) {
  if constexpr (I == std::variant_size_v<history_event>) {
    return MakeError(result_code::kSchemaViolation,
                     "unknown event type " + name);
  } else {
    using candidate = std::variant_alternative_t<I, history_event>;
    if (name == candidate::kName)
      return DecodeAs<candidate>(object);
    return DecodeNamed<I + 1>(name, object);
  }
}

}  // namespace

std::string EncodeEvent(const history_event& event) {
  return std::visit(
      [](const auto& e) {
        using type = std::decay_t<decltype(e)>;
        field_writer writer(type::kName);
        type::Fields(e, writer);
        return writer.line();
      },
      event);
}

result<history_event> DecodeEvent(const std::string& line) {
  try {
    Poco::JSON::Parser parser;
    const auto object = parser.parse(line).extract<Poco::JSON::Object::Ptr>();
    return DecodeNamed(object->optValue<std::string>("event", ""), *object);
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kJsonSyntax, e.displayText());
  }
}

}  // namespace samphire
