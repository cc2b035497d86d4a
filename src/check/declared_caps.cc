#include "declared_caps.h"

#include "config/declaration_reader.h"
#include "config/file_text.h"

namespace samphire {

namespace {

// Upper bound of the size of a declaration file; a larger one is an error.
constexpr std::size_t kMaxFileBytes = 16 << 20;

}  // namespace

result<std::vector<history_event>> ReadDeclaredCaps(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadFileText(path, kMaxFileBytes));
  BOOST_OUTCOME_TRY(declared, ReadAcceptedDeclaration(text));
  std::vector<history_event> caps;
  for (const auto& cap : declared.shift_caps) {
    caps.emplace_back(cap_declared{
        .from = cap.from, .to = cap.to, .max_in_flight = cap.max_in_flight});
  }
  return caps;
}

}  // namespace samphire
