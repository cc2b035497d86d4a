#ifndef CTL_OUTPUT_FORMAT_H_
#define CTL_OUTPUT_FORMAT_H_

#include "base/enum_names.h"

namespace samphire {

// The values of --output: aligned text for people, or the JSON of the entry for
// scripts.
enum class output_format { kText, kJson };

inline constexpr enum_names<output_format, 2> kOutputFormatNames{{
    {output_format::kText, "text"},
    {output_format::kJson, "json"},
}};

}  // namespace samphire

#endif  // CTL_OUTPUT_FORMAT_H_
