#include "store/store_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <functional>
#include <utility>

#include "base/json_cursor.h"
#include "base/log.h"

namespace samphire {

namespace {

using json_object = Poco::JSON::Object::Ptr;

error CorruptError(std::string_view what) {
  return MakeError(result_code::kStoreCorrupt, std::string(what));
}

// Returns the results of `write` for all items, joined by commas.
template <typename T, typename F>
std::string JoinWithCommas(const std::vector<T>& items, F&& write) {
  std::string text;
  for (const auto& item : items) {
    if (!text.empty())
      text += ',';
    text += write(item);
  }
  return text;
}

// Parses the array `name` of `json`, each item by `read`.
template <typename T>
result<std::vector<T>> ReadArray(const json_object& json,
                                 const std::string& name,
                                 T (*read)(const Poco::JSON::Object&)) {
  if (json.isNull() || !json->isArray(name))
    return CorruptError(name);
  std::vector<T> items;
  const auto array = json->getArray(name);
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto item = array->getObject(static_cast<unsigned>(i));
    if (item.isNull())
      return CorruptError(name);
    items.push_back(read(*item));
  }
  return items;
}

store_object ParseStoreObject(const Poco::JSON::Object& json) {
  return {json.getValue<std::string>("key"),
          json.getValue<std::uint64_t>("version"),
          json.getValue<std::string>("value")};
}

store_event ParseStoreEvent(const Poco::JSON::Object& json) {
  return {json.getValue<std::string>("key"),
          json.getValue<std::uint64_t>("version")};
}

instance_info ParseInstanceInfo(const Poco::JSON::Object& json) {
  instance_info info;
  info.name = json.optValue<std::string>("name", "");
  info.role = json.optValue<std::string>("role", "");
  info.address = json.optValue<std::string>("address", "");
  info.region = json.optValue<std::string>("region", "");
  info.failure_domain = json.optValue<std::string>("failure_domain", "");
  const auto state = json.optValue<std::string>("state", "live");
  info.state =
      ValueOf(kInstanceStateNames, state).value_or(instance_state::kGone);
  return info;
}

// Calls `read` and turns POCO's exceptions for missing or mistyped members into
// kStoreCorrupt.
template <typename T>
result<T> CatchParseErrors(const std::function<result<T>()>& read) {
  try {
    return read();
  } catch (const Poco::Exception& e) {
    return CorruptError(e.displayText());
  }
}

}  // namespace

json_object ParseObject(const std::string& text) {
  try {
    Poco::JSON::Parser parser;
    const auto parsed = parser.parse(text);
    if (parsed.type() != typeid(json_object))
      return {};
    return parsed.extract<json_object>();
  } catch (const Poco::Exception&) {
    return {};
  }
}

std::string WriteObjects(const std::vector<store_object>& objects) {
  const auto write = [](const store_object& object) {
    return fmt::format(R"({{"key":{},"version":{},"value":{}}})",
                       JsonQuote(object.key), object.version,
                       JsonQuote(object.value));
  };
  return "{\"objects\":[" + JoinWithCommas(objects, write) + "]}";
}

result<std::vector<store_object>> ReadObjects(const std::string& text) {
  return CatchParseErrors<std::vector<store_object>>([&] {
    return ReadArray(ParseObject(text), "objects", ParseStoreObject);
  });
}

std::string WriteBatch(const watch_batch& batch) {
  const auto write = [](const store_event& event) {
    return fmt::format(R"({{"key":{},"version":{}}})", JsonQuote(event.key),
                       event.version);
  };
  return fmt::format(R"({{"cursor":{},"era":{},"reset":{},"events":[{}]}})",
                     batch.cursor.revision, batch.cursor.era, batch.reset,
                     JoinWithCommas(batch.events, write));
}

result<watch_batch> ReadBatch(const std::string& text) {
  return CatchParseErrors<watch_batch>([&]() -> result<watch_batch> {
    const auto json = ParseObject(text);
    BOOST_OUTCOME_TRY(events, ReadArray(json, "events", ParseStoreEvent));
    const auto era = json->optValue<std::uint64_t>("era", 0);
    return watch_batch{{json->getValue<std::uint64_t>("cursor"), era},
                       json->getValue<bool>("reset"),
                       std::move(events)};
  });
}

std::string WriteInstance(const instance_info& instance) {
  return fmt::format(R"({{"name":{},"role":{},"address":{},"region":{},)"
                     R"("failure_domain":{},"state":"{}"}})",
                     JsonQuote(instance.name), JsonQuote(instance.role),
                     JsonQuote(instance.address), JsonQuote(instance.region),
                     JsonQuote(instance.failure_domain),
                     NameOf(kInstanceStateNames, instance.state));
}

std::string WriteInstances(const std::vector<instance_info>& instances) {
  return "{\"instances\":[" + JoinWithCommas(instances, WriteInstance) + "]}";
}

// Instances register themselves, so that one of them may be anything; each is
// parsed on its own.
result<instance_listing> ReadInstances(const std::string& text) {
  instance_listing listing;
  json_cursor cursor(FindJsonMember(text, "instances").value_or(""));
  if (!cursor.EnterArray())
    return CorruptError("instances");
  while (cursor.NextElement()) {
    auto read = ReadInstance(std::string(cursor.SkipValue()));
    if (read && !read.value().name.empty())
      listing.instances.push_back(std::move(read.value()));
    else
      ++listing.unreadable;
  }
  if (cursor.failed())
    return CorruptError("instances");
  return listing;
}

result<instance_info> ReadInstance(const std::string& text) {
  return CatchParseErrors<instance_info>([&]() -> result<instance_info> {
    const auto json = ParseObject(text);
    if (json.isNull())
      return CorruptError("instance");
    return ParseInstanceInfo(*json);
  });
}

result<std::uint64_t> ReadVersion(const std::string& text) {
  return CatchParseErrors<std::uint64_t>([&]() -> result<std::uint64_t> {
    const auto json = ParseObject(text);
    if (json.isNull())
      return CorruptError("version");
    return json->getValue<std::uint64_t>("version");
  });
}

}  // namespace samphire
