#include "ctl/report.h"

#include <Poco/JSON/Array.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace samphire {

namespace {

using Poco::JSON::Object;

// Spaces of indentation in printed JSON.
constexpr unsigned int kIndent = 2;

std::string TextOf(const Object& json) {
  std::ostringstream text;
  json.stringify(text, kIndent);
  return text.str();
}

// Returns the complete body of the response, so that scripts see every field.
// If the body lacks the result code, adds the fields of `outcome`.
Object ResponseJson(const error& outcome, const Object::Ptr& body) {
  if (body && body->has("code"))
    return *body;
  Object json(Poco::JSON_PRESERVE_KEY_ORDER);
  json.set("code", static_cast<int>(outcome.code));
  json.set("name", std::string(NameOf(outcome.code)));
  json.set("detail", outcome.detail);
  json.set("pointer", outcome.pointer);
  if (body) {
    for (const auto& name : body->getNames())
      json.set(name, body->get(name));
  }
  return json;
}

// Returns the number, name, location and detail of the error, then a line that
// explains the code.
std::string ErrorText(const error& reason) {
  const auto& info = InfoOf(reason.code);
  auto text = fmt::format("{} {}", static_cast<int>(info.code), info.name);
  if (!reason.pointer.empty())
    text += " at " + reason.pointer;
  if (!reason.detail.empty())
    text += ": " + reason.detail;
  return fmt::format("{}\n{}", text, info.meaning);
}

// The rows of a table, the column headings first.
using table = std::vector<std::vector<std::string>>;

table TableCells(const Poco::JSON::Array& rows,
                 const std::vector<std::string>& columns) {
  table cells{columns};
  for (unsigned int i = 0; i < rows.size(); ++i) {
    std::vector<std::string> line;
    for (const auto& column : columns) {
      const auto value = rows.getObject(i)->get(column);
      line.push_back(value.isEmpty() ? "" : value.convert<std::string>());
    }
    cells.push_back(std::move(line));
  }
  return cells;
}

// Pads each column to its widest cell and separates columns by two spaces.
std::string AlignColumns(const table& cells) {
  std::vector<std::size_t> widths(cells.front().size());
  for (const auto& line : cells) {
    for (std::size_t i = 0; i < line.size(); ++i)
      widths[i] = std::max(widths[i], line[i].size());
  }
  std::string text;
  for (const auto& line : cells) {
    std::string row;
    for (std::size_t i = 0; i < line.size(); ++i)
      row += fmt::format("{:<{}}  ", line[i], widths[i]);
    row.erase(row.find_last_not_of(' ') + 1);
    text += row + "\n";
  }
  return text;
}

}  // namespace

exit_code report::Done(const std::string& text, const Object::Ptr& body) const {
  if (format_ == output_format::kJson)
    Print(error{}, body, "");
  else
    fmt::print("{}{}", text, text.ends_with('\n') ? "" : "\n");
  return exit_code::kDone;
}

exit_code report::Refused(const error& reason,
                          const Object::Ptr& body,
                          const std::string& advice) const {
  Print(reason, body, advice);
  return exit_code::kRefused;
}

exit_code report::Unknown(const error& reason,
                          const std::string& verify_command) const {
  Print(reason, {}, "To find out: " + verify_command);
  return exit_code::kUnknown;
}

exit_code report::Usage(const error& reason) const {
  Print(reason, {}, "samphirectl --help lists the commands with examples.");
  return exit_code::kUsage;
}

exit_code report::Failed(const ctl_response& response,
                         const std::string& verify_command) const {
  if (response.failure == call_failure::kResponseLost)
    return Unknown(response.outcome, verify_command);
  return Refused(response.outcome, response.body);
}

exit_code report::Table(const Object::Ptr& body,
                        const std::string& name,
                        const std::vector<std::string>& columns) const {
  const auto rows = body->getArray(name);
  if (!rows || rows->size() == 0)
    return Done("none", body);
  return Done(AlignColumns(TableCells(*rows, columns)), body);
}

void report::Print(const error& outcome,
                   const Object::Ptr& body,
                   std::string_view advice) const {
  if (format_ == output_format::kText) {
    fmt::print(stderr, "{}\n", ErrorText(outcome));
    if (!advice.empty())
      fmt::print(stderr, "{}\n", advice);
    return;
  }
  auto json = ResponseJson(outcome, body);
  if (!advice.empty())
    json.set("advice", std::string(advice));
  fmt::print("{}\n", TextOf(json));
}

}  // namespace samphire
