#include "config/declaration_writer.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <sstream>

#include "config/client_block_text.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// Fields keep the order in which they are set, as the schema lists them.
Object Ordered() {
  return Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

std::string Name(std::string_view name) {
  return std::string(name);
}

template <typename T, typename F>
Array ListOf(const std::vector<T>& items, F write) {
  Array list;
  for (const auto& item : items)
    list.add(write(item));
  return list;
}

Object WriteRegion(const region& one) {
  auto json = Ordered();
  json.set("name", one.name);
  json.set("failure_domains",
           ListOf(one.failure_domains, [](const auto& name) { return name; }));
  json.set("seats", one.seats);
  return json;
}

Object WriteLatency(const region_latency& one) {
  auto json = Ordered();
  json.set("from", one.from);
  json.set("to", one.to);
  json.set("one_way_us", static_cast<Poco::Int64>(one.one_way.count()));
  return json;
}

Object WriteBlock(const client_block& one) {
  auto json = Ordered();
  json.set("block", FormatClientBlock(one));
  json.set("region", one.region);
  return json;
}

Poco::Int64 Count(milliseconds time) {
  return time.count();
}

Object WriteClass(const request_class& one) {
  auto json = Ordered();
  json.set("name", one.name);
  json.set("method", one.method);
  json.set("path", one.path);
  json.set("repeatable", one.repeatable);
  json.set("witnessed", one.witnessed);
  json.set("priority", Name(NameOf(kPriorityNames, one.priority)));
  json.set("kind", Name(NameOf(kRequestKindNames, one.kind)));
  json.set("deadline_ms", Count(one.deadline));
  json.set("max_deadline_ms", Count(one.max_deadline));
  json.set("queue_limit", one.queue_limit);
  return json;
}

Object WriteTarget(const target& one) {
  auto json = Ordered();
  json.set("name", one.name);
  json.set("address", one.address);
  json.set("failure_domain", one.failure_domain);
  json.set("slots", one.slots);
  json.set("connections", one.connections);
  return json;
}

Object WriteService(const service& one) {
  auto json = Ordered();
  json.set("name", one.name);
  json.set("classes", ListOf(one.classes, WriteClass));
  json.set("targets", ListOf(one.targets, WriteTarget));
  return json;
}

Object WriteShiftCap(const shift_cap& one) {
  auto json = Ordered();
  json.set("from", one.from);
  json.set("to", one.to);
  json.set("max_in_flight", one.max_in_flight);
  json.set("initial", one.initial);
  json.set("ramp_per_s", one.ramp_per_s);
  return json;
}

Object WriteDrainObject(const drain& one) {
  auto json = Ordered();
  json.set("name", one.name);
  json.set("scope", Name(NameOf(kDrainScopeNames, one.scope)));
  json.set("subject", one.subject);
  json.set("starts_at", FormatWallTime(one.starts_at));
  json.set("deadline", FormatWallTime(one.deadline));
  return json;
}

Object WriteLimits(const limits& bounds) {
  auto json = Ordered();
  json.set("lookup_ttl_ms", Count(bounds.lookup_ttl));
  json.set("loan_ttl_ms", Count(bounds.loan_ttl));
  json.set("clock_drift_ms", Count(bounds.clock_drift));
  json.set("retry_budget_percent", bounds.retry_budget_percent);
  json.set("max_attempts", bounds.max_attempts);
  json.set("max_body_bytes", static_cast<Poco::UInt64>(bounds.max_body_bytes));
  json.set("max_header_bytes", bounds.max_header_bytes);
  json.set("bulk_percent", bounds.bulk_percent);
  json.set("cold_start_ramp_ms", Count(bounds.cold_start_ramp));
  json.set("ledger_retention_ms", Count(bounds.ledger_retention));
  json.set("ledger_shards", bounds.ledger_shards);
  json.set("max_configuration_age_ms", Count(bounds.max_configuration_age));
  return json;
}

std::string TextOf(const Object& json) {
  std::ostringstream text;
  json.stringify(text);
  return text.str();
}

}  // namespace

// Every field is written, also where it has its default: a later release with
// other defaults must not change the meaning of what was accepted.
std::string WriteDeclaration(const declaration& declared) {
  auto json = Ordered();
  json.set("name", declared.name);
  json.set("default_region", declared.default_region);
  json.set("regions", ListOf(declared.regions, WriteRegion));
  json.set("latencies", ListOf(declared.latencies, WriteLatency));
  json.set("client_blocks", ListOf(declared.client_blocks, WriteBlock));
  json.set("services", ListOf(declared.services, WriteService));
  json.set("shift_caps", ListOf(declared.shift_caps, WriteShiftCap));
  json.set("drains", ListOf(declared.drains, WriteDrainObject));
  json.set("limits", WriteLimits(declared.limits));
  return TextOf(json);
}

std::string WriteDrain(const drain& declared) {
  return TextOf(WriteDrainObject(declared));
}

}  // namespace samphire
