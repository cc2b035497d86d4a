#include "experiment/scenario_reader.h"

#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <algorithm>

#include "experiment/strict_json_object.h"

namespace samphire {

namespace {

// Upper bounds of the values in a scenario for an experiment on one machine, so
// that a typing error does not exhaust its memory: any time or duration (one
// hour), requests per second (and the share of a caller group), attempts of a
// request, bytes of an answer.
constexpr double kMaxTimeMs = 3'600'000;
constexpr double kMaxRatePerSecond = 1'000'000;
constexpr double kMaxAttempts = 100;
constexpr double kMaxAnswerBytes = 256 << 20;

milliseconds Ms(double number) {
  return milliseconds(static_cast<std::int64_t>(number));
}

// Reads a list of strings; empty if the field is missing.
std::vector<std::string> ReadTexts(strict_json_object& object,
                                   const std::string& name) {
  std::vector<std::string> texts;
  const auto list = object.List(name);
  for (const auto& item : *list) {
    if (item.isString())
      texts.push_back(item.convert<std::string>());
    else
      object.Fail(name, "not an array of strings");
  }
  return texts;
}

// Reads each element of a list of objects with `read`; empty if the field is
// missing.
template <typename T, typename F>
std::vector<T> ReadObjects(strict_json_object& object,
                           const std::string& name,
                           F read) {
  std::vector<T> values;
  const auto list = object.List(name);
  for (unsigned i = 0; i < list->size(); ++i) {
    strict_json_object part(list->getObject(i),
                            fmt::format("{}/{}", object.PointerTo(name), i));
    values.push_back(read(part));
    object.MergeError(part);
  }
  return values;
}

rate_step ReadRateStep(strict_json_object& object) {
  return {.at = Ms(object.Number("at_ms", 0, kMaxTimeMs)),
          .per_second = object.Number("per_second", 0, kMaxRatePerSecond)};
}

caller_group ReadCallerGroup(strict_json_object& object) {
  caller_group group{.region = object.Text("region"),
                     .sources = ReadTexts(object, "sources"),
                     .share = object.Number("share", 0, kMaxRatePerSecond, 1)};
  if (group.sources.empty())
    object.Fail("sources", "empty");
  return group;
}

request_stream ReadStream(strict_json_object& object) {
  request_stream stream;
  stream.service = object.Text("service");
  stream.request_class = object.Text("class");
  stream.method = object.Text("method", stream.method);
  stream.path = object.Text("path");
  stream.deadline = Ms(object.Number("deadline_ms", 1, kMaxTimeMs));
  stream.rates = ReadObjects<rate_step>(object, "rates", ReadRateStep);
  if (!std::is_sorted(stream.rates.begin(), stream.rates.end(),
                      [](const auto& a, const auto& b) { return a.at < b.at; }))
    object.Fail("rates", "not sorted by at_ms");
  stream.keyed = object.Flag("keyed", false);
  stream.max_attempts = static_cast<std::uint32_t>(
      object.Number("max_attempts", 1, kMaxAttempts, 1));
  stream.abandon_share = object.Number("abandon_share", 0, 1, 0);
  stream.abandon_after =
      Ms(object.Number("abandon_after_ms", 1, kMaxTimeMs, 5));
  stream.answer_bytes = static_cast<std::uint64_t>(
      object.Number("answer_bytes", 0, kMaxAnswerBytes, 0));
  const auto headers = object.Members("headers");
  for (const auto& name : headers->getNames())
    stream.headers.emplace_back(name, headers->getValue<std::string>(name));
  return stream;
}

scenario ReadRoot(strict_json_object& root) {
  scenario read;
  read.name = root.Text("name");
  read.seed = static_cast<std::uint32_t>(root.Number("seed", 0, UINT32_MAX, 1));
  read.run_time = Ms(root.Number("run_ms", 1, kMaxTimeMs));
  read.entries = ReadTexts(root, "entries");
  read.callers = ReadObjects<caller_group>(root, "callers", ReadCallerGroup);
  if (read.callers.empty())
    root.Fail("callers", "empty");
  read.streams = ReadObjects<request_stream>(root, "streams", ReadStream);
  if (read.streams.empty())
    root.Fail("streams", "empty");
  read.max_retry_wait = Ms(root.Number("longest_wait_ms", 0, kMaxTimeMs, 1000));
  return read;
}

}  // namespace

result<scenario> ReadScenario(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    strict_json_object root(
        parser.parse(text).extract<Poco::JSON::Object::Ptr>(), "");
    auto read = ReadRoot(root);
    if (const auto first_error = root.first_error())
      return *first_error;
    return read;
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kJsonSyntax, e.displayText());
  }
}

}  // namespace samphire
