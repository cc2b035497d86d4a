#include "config/settings_schema.h"

namespace samphire {

// Written by scripts/embed-schemas from docs/settings.schema.json.
const std::string_view kSettingsSchema =
    R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "samphire-entry settings",
  "description": "What one entry process is told at its start. Secrets stand in files of their own.",
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "region", "failure_domain", "caller_address", "operator_address", "peer_address", "platform_addresses", "peer_key_file", "operator_token_file"],
  "properties": {
    "instance": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "failure_domain": {"$ref": "#/definitions/name"},
    "caller_address": {"type": "string", "description": "IP:PORT by number, as are all addresses here; port 0 takes a free one."},
    "operator_address": {"type": "string"},
    "peer_address": {"type": "string"},
    "platform_addresses": {"type": "array", "minItems": 1, "maxItems": 64, "items": {"type": "string"}, "description": "Tried in turn."},
    "seeds": {"type": "array", "maxItems": 256, "items": {"type": "string"}, "description": "Peer addresses to join by when the platform is down."},
    "peer_key_file": {"type": "string", "minLength": 1},
    "operator_token_file": {"type": "string", "minLength": 1},
    "max_connections": {"type": "integer", "minimum": 1, "maximum": 100000},
    "header_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 600000},
    "idle_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 3600000}
  },
  "definitions": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"}
  }
}
)schema";

}  // namespace samphire
