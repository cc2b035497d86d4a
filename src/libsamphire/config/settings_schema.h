#ifndef CONFIG_SETTINGS_SCHEMA_H_
#define CONFIG_SETTINGS_SCHEMA_H_

#include <string_view>

namespace samphire {

// The JSON Schema (draft 7) of entry settings: the text of
// docs/settings.schema.json.
extern const std::string_view kSettingsSchema;

}  // namespace samphire

#endif  // CONFIG_SETTINGS_SCHEMA_H_
