#include "config/declaration_parts_reader.h"

#include "config/client_block_text.h"
#include "config/json_fields.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

result<request_class> ReadClass(const Object& json, const std::string&) {
  request_class read;
  read.name = FieldOf<std::string>(json, "name");
  read.method = FieldOf<std::string>(json, "method");
  read.path = FieldOf<std::string>(json, "path");
  read.repeatable = FieldOf<bool>(json, "repeatable");
  read.witnessed = FieldOf<bool>(json, "witnessed", false);
  read.priority = EnumOf(json, "priority", kPriorityNames, read.priority);
  read.kind = EnumOf(json, "kind", kRequestKindNames, read.kind);
  read.deadline = MillisecondsOf(json, "deadline_ms", read.deadline);
  read.max_deadline = MillisecondsOf(json, "max_deadline_ms", read.deadline);
  read.queue_limit = FieldOf<Poco::UInt32>(json, "queue_limit");
  return read;
}

result<target> ReadTarget(const Object& json, const std::string&) {
  target read;
  read.name = FieldOf<std::string>(json, "name");
  read.address = FieldOf<std::string>(json, "address");
  read.failure_domain = FieldOf<std::string>(json, "failure_domain");
  read.slots = FieldOf<Poco::UInt32>(json, "slots");
  read.connections = FieldOf<Poco::UInt32>(json, "connections");
  return read;
}

// Reads a required time of a drain. Both times are mandatory: a drain that
// started "now" would start at a different moment on each entry, and one
// without a deadline could delay a shutdown indefinitely.
result<void> ReadDrainTime(const Object& json,
                           const std::string& name,
                           const std::string& pointer,
                           wall_time& destination) {
  if (!json.has(name)) {
    return MakeError(result_code::kDrainWithoutTime,
                     name + " is required in a drain", pointer);
  }
  const auto time = ParseWallTime(FieldOf<std::string>(json, name));
  if (!time) {
    return MakeError(result_code::kSchemaViolation,
                     "expected a UTC time such as 2026-12-02T08:30:00Z",
                     pointer + "/" + name);
  }
  destination = *time;
  return Success();
}

}  // namespace

result<region> ReadRegion(const Object& json, const std::string&) {
  region read;
  read.name = FieldOf<std::string>(json, "name");
  read.failure_domains = StringsOf(json, "failure_domains");
  read.partition_count = FieldOf<Poco::UInt32>(json, "seats");
  return read;
}

result<region_latency> ReadRegionLatency(const Object& json,
                                         const std::string&) {
  region_latency read;
  read.from = FieldOf<std::string>(json, "from");
  read.to = FieldOf<std::string>(json, "to");
  read.one_way = microseconds(FieldOf<Poco::Int64>(json, "one_way_us"));
  return read;
}

result<client_block> ReadClientBlock(const Object& json,
                                     const std::string& pointer) {
  const auto text = FieldOf<std::string>(json, "block");
  auto read = ParseClientBlock(text);
  if (!read)
    return MakeError(result_code::kBadClientBlock, text, pointer + "/block");
  read->region = FieldOf<std::string>(json, "region");
  return *read;
}

result<service> ReadService(const Object& json, const std::string& pointer) {
  service read;
  read.name = FieldOf<std::string>(json, "name");
  BOOST_OUTCOME_TRYV(
      ReadList(json, "classes", pointer, ReadClass, read.classes));
  BOOST_OUTCOME_TRYV(
      ReadList(json, "targets", pointer, ReadTarget, read.targets));
  return read;
}

result<shift_cap> ReadShiftCap(const Object& json, const std::string&) {
  shift_cap read;
  read.from = FieldOf<std::string>(json, "from");
  read.to = FieldOf<std::string>(json, "to");
  read.max_in_flight = FieldOf<Poco::UInt32>(json, "max_in_flight");
  read.initial = FieldOf<Poco::UInt32>(json, "initial", read.max_in_flight);
  read.ramp_per_s = FieldOf<double>(json, "ramp_per_s");
  return read;
}

result<drain> ReadDrainObject(const Object& json, const std::string& pointer) {
  drain read;
  read.name = FieldOf<std::string>(json, "name");
  read.scope = EnumOf(json, "scope", kDrainScopeNames, read.scope);
  read.subject = FieldOf<std::string>(json, "subject");
  BOOST_OUTCOME_TRYV(ReadDrainTime(json, "starts_at", pointer, read.starts_at));
  BOOST_OUTCOME_TRYV(ReadDrainTime(json, "deadline", pointer, read.deadline));
  return read;
}

limits ReadLimits(const Object& json) {
  limits read;
  const auto ms = [&json](const char* name, milliseconds& value) {
    value = MillisecondsOf(json, name, value);
  };
  const auto number = [&json](const char* name, auto& value) {
    value = static_cast<std::remove_reference_t<decltype(value)>>(
        FieldOf<Poco::UInt64>(json, name, value));
  };
  ms("lookup_ttl_ms", read.lookup_ttl);
  ms("loan_ttl_ms", read.loan_ttl);
  ms("clock_drift_ms", read.clock_drift);
  number("retry_budget_percent", read.retry_budget_percent);
  number("max_attempts", read.max_attempts);
  number("max_body_bytes", read.max_body_bytes);
  number("max_header_bytes", read.max_header_bytes);
  number("bulk_percent", read.bulk_percent);
  ms("cold_start_ramp_ms", read.cold_start_ramp);
  ms("ledger_retention_ms", read.ledger_retention);
  number("ledger_shards", read.ledger_shards);
  ms("max_configuration_age_ms", read.max_configuration_age);
  return read;
}

}  // namespace samphire
