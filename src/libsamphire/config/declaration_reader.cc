#include "config/declaration_reader.h"

#include "config/declaration_checker.h"
#include "config/declaration_parts_reader.h"
#include "config/declaration_schema.h"
#include "config/json_fields.h"
#include "config/json_text.h"
#include "config/schema_validator.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

// Reads a declaration from an object that has passed schema validation.
result<declaration> ReadDeclarationObject(const Object& json) {
  declaration read;
  read.name = FieldOf<std::string>(json, "name");
  read.default_region = FieldOf<std::string>(json, "default_region");
  BOOST_OUTCOME_TRYV(ReadList(json, "regions", "", ReadRegion, read.regions));
  BOOST_OUTCOME_TRYV(
      ReadList(json, "latencies", "", ReadRegionLatency, read.latencies));
  BOOST_OUTCOME_TRYV(
      ReadList(json, "client_blocks", "", ReadClientBlock, read.client_blocks));
  BOOST_OUTCOME_TRYV(
      ReadList(json, "services", "", ReadService, read.services));
  BOOST_OUTCOME_TRYV(
      ReadList(json, "shift_caps", "", ReadShiftCap, read.shift_caps));
  BOOST_OUTCOME_TRYV(
      ReadList(json, "drains", "", ReadDrainObject, read.drains));
  if (const auto bounds = json.getObject("limits"))
    read.limits = ReadLimits(*bounds);
  return read;
}

// Parses the text and validates it against the schema, without checking
// references and consistency.
result<declaration> ReadAndValidate(std::string_view text) {
  BOOST_OUTCOME_TRY(value, ReadJsonText(text));
  BOOST_OUTCOME_TRYV(ValidateBySchema(value, kDeclarationSchema));
  return ReadDeclarationObject(*value);
}

}  // namespace

result<declaration> ReadDeclaration(std::string_view text,
                                    wall_time now,
                                    const declaration* active) {
  BOOST_OUTCOME_TRY(read, ReadAndValidate(text));
  BOOST_OUTCOME_TRYV(CheckDeclaration(read));
  BOOST_OUTCOME_TRYV(CheckNewDrains(read, now, active));
  return read;
}

// Expired drains are allowed here. Otherwise an active declaration would become
// unreadable at the deadline of its drain, and an entry that is replaced a
// minute later could not start.
result<declaration> ReadAcceptedDeclaration(std::string_view text) {
  BOOST_OUTCOME_TRY(read, ReadAndValidate(text));
  BOOST_OUTCOME_TRYV(CheckDeclaration(read));
  return read;
}

result<drain> ReadDrain(std::string_view text) {
  BOOST_OUTCOME_TRY(value, ReadJsonText(text));
  BOOST_OUTCOME_TRYV(
      ValidateBySchema(value, kDeclarationSchema, "/definitions/drain"));
  return ReadDrainObject(*value, "");
}

}  // namespace samphire
