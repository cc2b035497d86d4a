#include "config/declaration_writer.h"

#include "config/client_block_text.h"
#include "config/json_writer.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

template <typename T>
void Put(json_writer& out, const char* name, const T& value) {
  out.Key(name);
  out.Value(value);
}

void Put(json_writer& out, const char* name, milliseconds time) {
  out.Key(name);
  out.Value(time.count());
}

template <typename T, typename F>
void PutList(json_writer& out,
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
  Put(out, "name", one.name);
  PutList(out, "failure_domains", one.failure_domains,
          [](json_writer& to, const std::string& name) { to.Value(name); });
  Put(out, "seats", one.seats);
  out.EndObject();
}

void WriteLatency(json_writer& out, const region_latency& one) {
  out.BeginObject();
  Put(out, "from", one.from);
  Put(out, "to", one.to);
  Put(out, "one_way_us", one.one_way.count());
  out.EndObject();
}

void WriteBlock(json_writer& out, const client_block& one) {
  out.BeginObject();
  Put(out, "block", FormatClientBlock(one));
  Put(out, "region", one.region);
  out.EndObject();
}

void WriteClass(json_writer& out, const request_class& one) {
  out.BeginObject();
  Put(out, "name", one.name);
  Put(out, "method", one.method);
  Put(out, "path", one.path);
  Put(out, "repeatable", one.repeatable);
  Put(out, "witnessed", one.witnessed);
  Put(out, "priority", NameOf(kPriorityNames, one.priority));
  Put(out, "kind", NameOf(kRequestKindNames, one.kind));
  Put(out, "deadline_ms", one.deadline);
  Put(out, "max_deadline_ms", one.max_deadline);
  Put(out, "queue_limit", one.queue_limit);
  out.EndObject();
}

void WriteTarget(json_writer& out, const target& one) {
  out.BeginObject();
  Put(out, "name", one.name);
  Put(out, "address", one.address);
  Put(out, "failure_domain", one.failure_domain);
  Put(out, "slots", one.slots);
  Put(out, "connections", one.connections);
  out.EndObject();
}

void WriteService(json_writer& out, const service& one) {
  out.BeginObject();
  Put(out, "name", one.name);
  PutList(out, "classes", one.classes, WriteClass);
  PutList(out, "targets", one.targets, WriteTarget);
  out.EndObject();
}

void WriteShiftCap(json_writer& out, const shift_cap& one) {
  out.BeginObject();
  Put(out, "from", one.from);
  Put(out, "to", one.to);
  Put(out, "max_in_flight", one.max_in_flight);
  Put(out, "initial", one.initial);
  Put(out, "ramp_per_s", one.ramp_per_s);
  out.EndObject();
}

void WriteDrainObject(json_writer& out, const drain& one) {
  out.BeginObject();
  Put(out, "name", one.name);
  Put(out, "scope", NameOf(kDrainScopeNames, one.scope));
  Put(out, "subject", one.subject);
  Put(out, "starts_at", FormatWallTime(one.starts_at));
  Put(out, "deadline", FormatWallTime(one.deadline));
  out.EndObject();
}

void WriteLimits(json_writer& out, const limits& bounds) {
  out.BeginObject();
  Put(out, "lookup_ttl_ms", bounds.lookup_ttl);
  Put(out, "loan_ttl_ms", bounds.loan_ttl);
  Put(out, "clock_drift_ms", bounds.clock_drift);
  Put(out, "retry_budget_percent", bounds.retry_budget_percent);
  Put(out, "max_attempts", bounds.max_attempts);
  Put(out, "max_body_bytes", bounds.max_body_bytes);
  Put(out, "max_header_bytes", bounds.max_header_bytes);
  Put(out, "bulk_percent", bounds.bulk_percent);
  Put(out, "cold_start_ramp_ms", bounds.cold_start_ramp);
  Put(out, "ledger_retention_ms", bounds.ledger_retention);
  Put(out, "ledger_shards", bounds.ledger_shards);
  Put(out, "max_configuration_age_ms", bounds.max_configuration_age);
  out.EndObject();
}

template <typename T, typename F>
std::string TextOf(const T& item, F write) {
  json_writer out;
  write(out, item);
  return out.text();
}

void WriteAll(json_writer& out, const declaration& declared) {
  out.BeginObject();
  Put(out, "name", declared.name);
  Put(out, "default_region", declared.default_region);
  PutList(out, "regions", declared.regions, WriteRegion);
  PutList(out, "latencies", declared.latencies, WriteLatency);
  PutList(out, "client_blocks", declared.client_blocks, WriteBlock);
  PutList(out, "services", declared.services, WriteService);
  PutList(out, "shift_caps", declared.shift_caps, WriteShiftCap);
  PutList(out, "drains", declared.drains, WriteDrainObject);
  out.Key("limits");
  WriteLimits(out, declared.limits);
  out.EndObject();
}

}  // namespace

// Every field is written, also where it has its default: a later release with
// other defaults must not change the meaning of what was accepted.
std::string WriteDeclaration(const declaration& declared) {
  return TextOf(declared, WriteAll);
}

std::string WriteDrain(const drain& declared) {
  return TextOf(declared, WriteDrainObject);
}

}  // namespace samphire
