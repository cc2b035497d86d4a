#include "store/store_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <functional>

#include "base/log.h"

namespace samphire {

namespace {

using json_object = Poco::JSON::Object::Ptr;

error Corrupt(std::string_view what) {
  return MakeError(result_code::kStoreCorrupt, std::string(what));
}

// Joins what `write` makes of each item by commas.
template <typename T, typename F>
std::string Joined(const std::vector<T>& items, F&& write) {
  std::string text;
  for (const auto& item : items) {
    if (!text.empty())
      text += ',';
    text += write(item);
  }
  return text;
}

// Reads the array `name` of the object in `text`, each item by `read`.
template <typename T>
result<std::vector<T>> ReadArray(const json_object& json,
                                 const std::string& name,
                                 T (*read)(const Poco::JSON::Object&)) {
  if (json.isNull() || !json->isArray(name))
    return Corrupt(name);
  std::vector<T> items;
  const auto array = json->getArray(name);
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto item = array->getObject(static_cast<unsigned>(i));
    if (item.isNull())
      return Corrupt(name);
    items.push_back(read(*item));
  }
  return items;
}

store_object ObjectOf(const Poco::JSON::Object& json) {
  return {json.getValue<std::string>("key"),
          json.getValue<std::uint64_t>("version"),
          json.getValue<std::string>("value")};
}

store_event EventOf(const Poco::JSON::Object& json) {
  return {json.getValue<std::string>("key"),
          json.getValue<std::uint64_t>("version")};
}

instance_info InstanceOf(const Poco::JSON::Object& json) {
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

// Runs `read`; what POCO throws over missing or mistyped members is an error.
template <typename T>
result<T> Guarded(const std::function<result<T>()>& read) {
  try {
    return read();
  } catch (const Poco::Exception& e) {
    return Corrupt(e.displayText());
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
  return "{\"objects\":[" + Joined(objects, write) + "]}";
}

result<std::vector<store_object>> ReadObjects(const std::string& text) {
  return Guarded<std::vector<store_object>>(
      [&] { return ReadArray(ParseObject(text), "objects", ObjectOf); });
}

std::string WriteBatch(const watch_batch& batch) {
  const auto write = [](const store_event& event) {
    return fmt::format(R"({{"key":{},"version":{}}})", JsonQuote(event.key),
                       event.version);
  };
  return fmt::format(R"({{"cursor":{},"reset":{},"events":[{}]}})",
                     batch.cursor, batch.reset, Joined(batch.events, write));
}

result<watch_batch> ReadBatch(const std::string& text) {
  return Guarded<watch_batch>([&]() -> result<watch_batch> {
    const auto json = ParseObject(text);
    BOOST_OUTCOME_TRY(events, ReadArray(json, "events", EventOf));
    return watch_batch{json->getValue<std::uint64_t>("cursor"),
                       json->getValue<bool>("reset"), std::move(events)};
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
  return "{\"instances\":[" + Joined(instances, WriteInstance) + "]}";
}

result<std::vector<instance_info>> ReadInstances(const std::string& text) {
  return Guarded<std::vector<instance_info>>(
      [&] { return ReadArray(ParseObject(text), "instances", InstanceOf); });
}

result<instance_info> ReadInstance(const std::string& text) {
  return Guarded<instance_info>([&]() -> result<instance_info> {
    const auto json = ParseObject(text);
    if (json.isNull())
      return Corrupt("instance");
    return InstanceOf(*json);
  });
}

result<std::uint64_t> ReadVersion(const std::string& text) {
  return Guarded<std::uint64_t>([&]() -> result<std::uint64_t> {
    const auto json = ParseObject(text);
    if (json.isNull())
      return Corrupt("version");
    return json->getValue<std::uint64_t>("version");
  });
}

}  // namespace samphire
