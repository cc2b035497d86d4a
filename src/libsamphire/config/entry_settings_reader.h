#ifndef CONFIG_ENTRY_SETTINGS_READER_H_
#define CONFIG_ENTRY_SETTINGS_READER_H_

#include <string_view>

#include "base/result.h"
#include "config/entry_settings.h"

namespace samphire {

// Reads and checks the settings of an entry. Port 0 in a listening address
// selects a free port. The error holds the JSON pointer of the invalid value.
result<entry_settings> ReadEntrySettings(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_ENTRY_SETTINGS_READER_H_
