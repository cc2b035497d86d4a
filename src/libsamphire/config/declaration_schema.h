#ifndef CONFIG_DECLARATION_SCHEMA_H_
#define CONFIG_DECLARATION_SCHEMA_H_

#include <string_view>

namespace samphire {

// The JSON Schema (draft 7) of declarations: the text of
// docs/declaration.schema.json.
extern const std::string_view kDeclarationSchema;

}  // namespace samphire

#endif  // CONFIG_DECLARATION_SCHEMA_H_
