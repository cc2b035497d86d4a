#ifndef CONFIG_ENTRY_SETTINGS_READER_H_
#define CONFIG_ENTRY_SETTINGS_READER_H_

#include <string_view>

#include "base/result.h"
#include "config/entry_settings.h"

namespace samphire {

// Reads the settings of one entry; port 0 asks for a free one.
result<entry_settings> ReadEntrySettings(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_ENTRY_SETTINGS_READER_H_
