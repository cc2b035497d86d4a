#include "config/entry_settings_reader.h"

#include "config/ip_address.h"
#include "config/json_fields.h"
#include "config/json_text.h"
#include "config/schema_validator.h"
#include "config/settings_schema.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

entry_settings ReadFields(const Object& json) {
  entry_settings read;
  read.instance = FieldOf<std::string>(json, "instance");
  read.region = FieldOf<std::string>(json, "region");
  read.failure_domain = FieldOf<std::string>(json, "failure_domain");
  read.caller_address = FieldOf<std::string>(json, "caller_address");
  read.operator_address = FieldOf<std::string>(json, "operator_address");
  read.peer_address = FieldOf<std::string>(json, "peer_address");
  read.platform_addresses = TextsOf(json, "platform_addresses");
  read.seeds = TextsOf(json, "seeds");
  read.peer_key_file = FieldOf<std::string>(json, "peer_key_file");
  read.operator_token_file = FieldOf<std::string>(json, "operator_token_file");
  read.max_connections =
      FieldOf<Poco::UInt32>(json, "max_connections", read.max_connections);
  read.header_timeout =
      MillisecondsOf(json, "header_timeout_ms", read.header_timeout);
  read.idle_timeout =
      MillisecondsOf(json, "idle_timeout_ms", read.idle_timeout);
  return read;
}

// What an entry listens on may have port 0, what it calls may not.
enum class port_rule { kMayBeFree, kMustBeGiven };

result<void> CheckAddress(const std::string& address,
                          port_rule rule,
                          const std::string& pointer) {
  const bool free_port = address.ends_with(":0");
  const auto checked =
      free_port ? address.substr(0, address.size() - 1) + "1" : address;
  if (IsSocketAddress(checked) && (!free_port || rule == port_rule::kMayBeFree))
    return Success();
  return MakeError(result_code::kBadAddress, address, pointer);
}

result<void> CheckAddresses(const std::vector<std::string>& addresses,
                            const std::string& pointer) {
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    BOOST_OUTCOME_TRYV(CheckAddress(addresses[i], port_rule::kMustBeGiven,
                                    fmt::format("{}/{}", pointer, i)));
  }
  return Success();
}

result<void> CheckSettings(const entry_settings& read) {
  BOOST_OUTCOME_TRYV(CheckAddress(read.caller_address, port_rule::kMayBeFree,
                                  "/caller_address"));
  BOOST_OUTCOME_TRYV(CheckAddress(read.operator_address, port_rule::kMayBeFree,
                                  "/operator_address"));
  BOOST_OUTCOME_TRYV(
      CheckAddress(read.peer_address, port_rule::kMayBeFree, "/peer_address"));
  BOOST_OUTCOME_TRYV(
      CheckAddresses(read.platform_addresses, "/platform_addresses"));
  return CheckAddresses(read.seeds, "/seeds");
}

}  // namespace

result<entry_settings> ReadEntrySettings(std::string_view text) {
  BOOST_OUTCOME_TRY(value, ReadJsonText(text));
  BOOST_OUTCOME_TRYV(ValidateBySchema(value, kSettingsSchema));
  const auto read = ReadFields(*value);
  BOOST_OUTCOME_TRYV(CheckSettings(read));
  return read;
}

}  // namespace samphire
