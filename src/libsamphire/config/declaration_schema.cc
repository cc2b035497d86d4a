#include "config/declaration_schema.h"

namespace samphire {

// Written by scripts/embed-schemas from docs/declaration.schema.json.
const std::string_view kDeclarationSchema =
    R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "samphirewinch declaration",
  "description": "What is served, from where, and how much may move: applied as a whole or not at all.",
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "default_region", "regions", "services"],
  "properties": {
    "name": {"$ref": "#/definitions/name"},
    "default_region": {"$ref": "#/definitions/name", "description": "Where callers in no client block belong."},
    "regions": {"type": "array", "minItems": 1, "maxItems": 256, "items": {"$ref": "#/definitions/region"}},
    "latencies": {"type": "array", "items": {"$ref": "#/definitions/latency"}},
    "client_blocks": {"type": "array", "items": {"$ref": "#/definitions/client_block"}},
    "services": {"type": "array", "maxItems": 1024, "items": {"$ref": "#/definitions/service"}},
    "shift_caps": {"type": "array", "items": {"$ref": "#/definitions/shift_cap"}},
    "drains": {"type": "array", "maxItems": 4096, "items": {"$ref": "#/definitions/drain"}},
    "limits": {"$ref": "#/definitions/limits"}
  },
  "definitions": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}$"},
    "region": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "failure_domains", "seats"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "failure_domains": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/name"}},
        "seats": {"type": "integer", "minimum": 1, "maximum": 256, "description": "Into how many seats the region's capacity is divided among its entries."}
      }
    },
    "latency": {
      "type": "object",
      "additionalProperties": false,
      "required": ["from", "to", "one_way_us"],
      "properties": {
        "from": {"$ref": "#/definitions/name"},
        "to": {"$ref": "#/definitions/name"},
        "one_way_us": {"type": "integer", "minimum": 0, "maximum": 10000000, "description": "The same both ways."}
      }
    },
    "client_block": {
      "type": "object",
      "additionalProperties": false,
      "required": ["block", "region"],
      "properties": {
        "block": {"type": "string", "description": "ADDRESS/LENGTH, IPv4 or IPv6, no bits set below the prefix."},
        "region": {"$ref": "#/definitions/name"}
      }
    },
    "service": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "classes", "targets"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "classes": {"type": "array", "minItems": 1, "maxItems": 256, "items": {"$ref": "#/definitions/class"}},
        "targets": {"type": "array", "items": {"$ref": "#/definitions/target"}}
      }
    },
    "class": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "method", "path", "repeatable", "queue_limit"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "method": {"type": "string", "pattern": "^([A-Z]{1,16}|[*])$", "description": "An HTTP method, or * for any."},
        "path": {"type": "string", "pattern": "^/", "description": "Below the service; * is one segment, a last ** any number of segments."},
        "repeatable": {"type": "boolean", "description": "A request of a class that is not repeatable runs at most once and needs an Idempotency-Key."},
        "witnessed": {"type": "boolean", "description": "A change to this class needs a second operator's consent."},
        "priority": {"enum": ["low", "normal", "high"]},
        "kind": {"enum": ["interactive", "bulk"]},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "description": "The time a caller has without a header of its own. A class without it is refused."},
        "max_deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000, "description": "The longest that a caller's header may ask for; deadline_ms if left out."},
        "queue_limit": {"type": "integer", "minimum": 0, "maximum": 100000, "description": "The most requests that wait for a slot at one entry."}
      }
    },
    "target": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "address", "failure_domain", "slots", "connections"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "address": {"type": "string", "description": "IP:PORT by number."},
        "failure_domain": {"$ref": "#/definitions/name"},
        "slots": {"type": "integer", "minimum": 1, "maximum": 10000, "description": "How many requests it runs at a time."},
        "connections": {"type": "integer", "minimum": 1, "maximum": 100000, "description": "How many connections it accepts."}
      }
    },
    "shift_cap": {
      "type": "object",
      "additionalProperties": false,
      "required": ["from", "to", "max_in_flight"],
      "properties": {
        "from": {"$ref": "#/definitions/name"},
        "to": {"$ref": "#/definitions/name"},
        "max_in_flight": {"type": "integer", "minimum": 0, "maximum": 1000000, "description": "The most work that callers of region from may have running in region to at once."},
        "initial": {"type": "integer", "minimum": 0, "maximum": 1000000, "description": "Where a shift starts; max_in_flight if left out."},
        "ramp_per_s": {"type": "number", "not": {"type": "boolean"}, "minimum": 0, "maximum": 1000000, "description": "By how much it grows each second."}
      }
    },
    "drain": {
      "type": "object",
      "additionalProperties": false,
      "required": ["name", "scope", "subject"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "scope": {"enum": ["target", "failure_domain", "region"]},
        "subject": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]{0,62}(/[a-z0-9][a-z0-9._-]{0,62})?$", "description": "SERVICE/TARGET, a failure domain or a region."},
        "starts_at": {"type": "string", "description": "UTC, such as 2026-12-02T08:30:00Z."},
        "deadline": {"type": "string", "description": "UTC; work that still runs then may be cut by the stop."}
      }
    },
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "lookup_ttl_ms": {"type": "integer", "minimum": 100, "maximum": 60000, "description": "How long a caller may use the answer of a look-up."},
        "loan_ttl_ms": {"type": "integer", "minimum": 10, "maximum": 10000, "description": "How long a borrowed slot may start work."},
        "clock_drift_ms": {"type": "integer", "minimum": 0, "maximum": 10000, "description": "Allowed error between two instances' clocks over a loan."},
        "retry_budget_percent": {"type": "integer", "minimum": 0, "maximum": 100},
        "max_attempts": {"type": "integer", "minimum": 1, "maximum": 10},
        "max_body_bytes": {"type": "integer", "minimum": 0, "maximum": 67108864},
        "max_header_bytes": {"type": "integer", "minimum": 1024, "maximum": 1048576},
        "bulk_percent": {"type": "integer", "minimum": 1, "maximum": 100, "description": "Which share of a region's slots bulk work may hold."},
        "cold_start_ramp_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
        "ledger_retention_ms": {"type": "integer", "minimum": 1000, "maximum": 604800000},
        "ledger_shards": {"type": "integer", "minimum": 1, "maximum": 4096},
        "max_configuration_age_ms": {"type": "integer", "minimum": 1000, "maximum": 86400000}
      }
    }
  }
}
)schema";

}  // namespace samphire
