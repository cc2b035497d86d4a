#include "config/declaration_writer.h"

#include "config/client_block_text.h"
#include "config/json_writer.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

template <typename T>
void WriteField(json_writer& out, const char* name, const T& value) {
  out.Key(name);
  out.Value(value);
}

void WriteField(json_writer& out, const char* name, milliseconds time) {
  out.Key(name);
  out.Value(time.count());
}

template <typename T, typename F>
void WriteListField(json_writer& out,
                    const char* name,
                    const std::vector<T>& items,
                    F write) {
  out.Key(name);
  out.BeginArray();
  for (const auto& item : items)
    write(out, item);
  out.EndArray();
}

void WriteRegion(json_writer& out, const region& one) {
  out.BeginObject();
  WriteField(out, "name", one.name);
  WriteListField(
      out, "failure_domains", one.failure_domains,
      [](json_writer& to, const std::string& name) { to.Value(name); });
  WriteField(out, "seats", one.partition_count);
  out.EndObject();
}

void WriteLatency(json_writer& out, const region_latency& one) {
  out.BeginObject();
  WriteField(out, "from", one.from);
  WriteField(out, "to", one.to);
  WriteField(out, "one_way_us", one.one_way.count());
  out.EndObject();
}

void WriteBlock(json_writer& out, const client_block& one) {
  out.BeginObject();
  WriteField(out, "block", FormatClientBlock(one));
  WriteField(out, "region", one.region);
  out.EndObject();
}

void WriteClass(json_writer& out, const request_class& one) {
  out.BeginObject();
  WriteField(out, "name", one.name);
  WriteField(out, "method", one.method);
  WriteField(out, "path", one.path);
  WriteField(out, "repeatable", one.repeatable);
  WriteField(out, "witnessed", one.witnessed);
  WriteField(out, "priority", NameOf(kPriorityNames, one.priority));
  WriteField(out, "kind", NameOf(kRequestKindNames, one.kind));
  WriteField(out, "deadline_ms", one.deadline);
  WriteField(out, "max_deadline_ms", one.max_deadline);
  WriteField(out, "queue_limit", one.queue_limit);
  out.EndObject();
}

void WriteTarget(json_writer& out, const target& one) {
  out.BeginObject();
  WriteField(out, "name", one.name);
  WriteField(out, "address", one.address);
  WriteField(out, "failure_domain", one.failure_domain);
  WriteField(out, "slots", one.slots);
  WriteField(out, "connections", one.connections);
  out.EndObject();
}

void WriteService(json_writer& out, const service& one) {
  out.BeginObject();
  WriteField(out, "name", one.name);
  WriteListField(out, "classes", one.classes, WriteClass);
  WriteListField(out, "targets", one.targets, WriteTarget);
  out.EndObject();
}

void WriteShiftCap(json_writer& out, const shift_cap& one) {
  out.BeginObject();
  WriteField(out, "from", one.from);
  WriteField(out, "to", one.to);
  WriteField(out, "max_in_flight", one.max_in_flight);
  WriteField(out, "initial", one.initial);
  WriteField(out, "ramp_per_s", one.ramp_per_s);
  out.EndObject();
}

void WriteDrainObject(json_writer& out, const drain& one) {
  out.BeginObject();
  WriteField(out, "name", one.name);
  WriteField(out, "scope", NameOf(kDrainScopeNames, one.scope));
  WriteField(out, "subject", one.subject);
  WriteField(out, "starts_at", FormatWallTime(one.starts_at));
  WriteField(out, "deadline", FormatWallTime(one.deadline));
  out.EndObject();
}

void WriteLimits(json_writer& out, const limits& bounds) {
  out.BeginObject();
  WriteField(out, "lookup_ttl_ms", bounds.lookup_ttl);
  WriteField(out, "loan_ttl_ms", bounds.loan_ttl);
  WriteField(out, "clock_drift_ms", bounds.clock_drift);
  WriteField(out, "retry_budget_percent", bounds.retry_budget_percent);
  WriteField(out, "max_attempts", bounds.max_attempts);
  WriteField(out, "max_body_bytes", bounds.max_body_bytes);
  WriteField(out, "max_header_bytes", bounds.max_header_bytes);
  WriteField(out, "bulk_percent", bounds.bulk_percent);
  WriteField(out, "cold_start_ramp_ms", bounds.cold_start_ramp);
  WriteField(out, "ledger_retention_ms", bounds.ledger_retention);
  WriteField(out, "ledger_shards", bounds.ledger_shards);
  WriteField(out, "max_configuration_age_ms", bounds.max_configuration_age);
  out.EndObject();
}

template <typename T, typename F>
std::string Serialize(const T& item, F write) {
  json_writer out;
  write(out, item);
  return out.text();
}

void WriteDeclarationObject(json_writer& out, const declaration& declared) {
  out.BeginObject();
  WriteField(out, "name", declared.name);
  WriteField(out, "default_region", declared.default_region);
  WriteListField(out, "regions", declared.regions, WriteRegion);
  WriteListField(out, "latencies", declared.latencies, WriteLatency);
  WriteListField(out, "client_blocks", declared.client_blocks, WriteBlock);
  WriteListField(out, "services", declared.services, WriteService);
  WriteListField(out, "shift_caps", declared.shift_caps, WriteShiftCap);
  WriteListField(out, "drains", declared.drains, WriteDrainObject);
  out.Key("limits");
  WriteLimits(out, declared.limits);
  out.EndObject();
}

}  // namespace

// Writes every field, including those with default values, so that a later
// release with different defaults does not change the meaning of an accepted
// declaration.
std::string WriteDeclaration(const declaration& declared) {
  return Serialize(declared, WriteDeclarationObject);
}

std::string WriteDrain(const drain& declared) {
  return Serialize(declared, WriteDrainObject);
}

}  // namespace samphire
