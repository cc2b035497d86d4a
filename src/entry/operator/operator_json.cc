#include "entry/operator/operator_json.h"

#include <Poco/JSON/Array.h>

#include <sstream>

#include "config/declaration_writer.h"
#include "config/json_text.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// Returns an empty object that keeps the order of its fields.
Object OrderedObject() {
  return Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

// Sets a field from JSON text. Text that does not parse is omitted, so that it
// does not invalidate the rest of the response.
void SetJsonText(Object& json,
                 const std::string& name,
                 const std::string& text) {
  if (const auto parsed = ReadJsonText(text))
    json.set(name, parsed.value());
}

template <typename T, typename F>
Array ListOf(const std::vector<T>& items, F write) {
  Array list;
  for (const auto& item : items)
    list.add(write(item));
  return list;
}

template <typename T, typename F>
Object ListAs(const std::string& name, const std::vector<T>& items, F write) {
  auto json = OrderedObject();
  json.set(name, ListOf(items, write));
  return json;
}

Object HistoryEntryJson(const history_entry& entry) {
  auto json = OrderedObject();
  json.set("version", static_cast<Poco::UInt64>(entry.version));
  json.set("state", std::string(NameOf(kHistoryStateNames, entry.state)));
  json.set("apply_id", entry.apply_id);
  json.set("operator", entry.operator_name);
  json.set("witness", entry.witness);
  json.set("proposal", entry.proposal);
  json.set("at", FormatWallTime(entry.at));
  return json;
}

Object MemberJson(const member_status& member) {
  auto json = OrderedObject();
  json.set("name", member.name);
  json.set("region", member.region);
  json.set("state", member.state);
  json.set("config_version", static_cast<Poco::UInt64>(member.config_version));
  return json;
}

Object ReservationJson(const reservation_status& record) {
  auto json = OrderedObject();
  json.set("service", record.service);
  json.set("key", record.key);
  json.set("state", record.state);
  json.set("holder", record.holder);
  json.set("reserved_at", FormatWallTime(record.reserved_at));
  json.set("settled_by", record.settled_by);
  json.set("reason", record.reason);
  return json;
}

Object DrainJson(const drain& declared) {
  return Object(*ReadJsonText(WriteDrain(declared)).value());
}

}  // namespace

Object JsonOf(const apply_response& response) {
  auto json = OrderedObject();
  json.set("version", static_cast<Poco::UInt64>(response.version));
  json.set("proposal", response.proposal);
  return json;
}

Object JsonOf(const config_response& response) {
  auto json = OrderedObject();
  json.set("version", static_cast<Poco::UInt64>(response.version));
  json.set("apply_id", response.apply_id);
  json.set("operator", response.operator_name);
  SetJsonText(json, "declaration", response.text);
  return json;
}

Object JsonOf(const std::vector<history_entry>& history) {
  return ListAs("history", history, HistoryEntryJson);
}

Object JsonOf(const status_response& status) {
  auto json = OrderedObject();
  json.set("instance", status.instance);
  json.set("region", status.region);
  json.set("config_version", static_cast<Poco::UInt64>(status.config_version));
  json.set("config_age_ms",
           static_cast<Poco::Int64>(status.config_age.count()));
  json.set("members", ListOf(status.members, MemberJson));
  SetJsonText(json, "details", status.details);
  return json;
}

Object JsonOf(const std::vector<drain>& drains) {
  return ListAs("drains", drains, DrainJson);
}

Object JsonOf(const std::vector<reservation_status>& records) {
  return ListAs("records", records, ReservationJson);
}

Object JsonOf(const reservation_status& record) {
  auto json = OrderedObject();
  json.set("record", ReservationJson(record));
  return json;
}

std::string OperatorResponseText(const error& outcome, const Object& fields) {
  auto json = OrderedObject();
  json.set("code", static_cast<int>(outcome.code));
  json.set("name", std::string(NameOf(outcome.code)));
  json.set("detail", outcome.detail);
  json.set("pointer", outcome.pointer);
  for (const auto& name : fields.getNames())
    json.set(name, fields.get(name));
  std::ostringstream text;
  json.stringify(text);
  return text.str();
}

}  // namespace samphire
