#include "distribution/declaration_lines.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Stringifier.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <utility>

#include "base/log.h"
#include "config/client_block_text.h"
#include "config/declaration_reader.h"
#include "config/declaration_writer.h"
#include "config/json_text.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

constexpr std::string_view kTargets = "targets";
constexpr std::string_view kServices = "services";
// Fields that identify an item of a list; an item has some of them.
constexpr std::array<const char*, 3> kIdentifyingFields{"name", "from", "to"};

std::string TextOf(const Poco::Dynamic::Var& value) {
  std::ostringstream text;
  Poco::JSON::Stringifier::condense(value, text);
  return text.str();
}

std::string KeyOf(std::string key, const Object& item) {
  for (const auto* field : kIdentifyingFields) {
    if (item.has(field))
      key += ' ' + item.getValue<std::string>(field);
  }
  return key;
}

class frame_writer {
 public:
  std::vector<keyed_line> Write(const Object& json) {
    for (const auto& [name, value] : json) {
      if (json.isArray(name))
        WriteList(name, *json.getArray(name));
      else
        Add(name, TextOf(value));
    }
    return std::move(lines_);
  }

 private:
  void WriteList(const std::string& name, const Poco::JSON::Array& list) {
    for (unsigned i = 0; i < list.size(); ++i) {
      const auto item = list.getObject(i);
      const auto key = KeyOf(name, *item);
      Poco::JSON::Object::Ptr rest = new Object(*item);
      // Each target gets its own line: with thousands of targets in one line,
      // every change would have to send them all.
      if (const auto targets = item->getArray(std::string(kTargets))) {
        WriteList(
            fmt::format("{} {}", kTargets, item->getValue<std::string>("name")),
            *targets);
        rest->remove(std::string(kTargets));
      }
      Add(key, TextOf(Poco::Dynamic::Var(rest)));
    }
  }

  void Add(std::string key, const std::string& value) {
    lines_.push_back(MakeKeyedLine(std::move(key), value));
  }

  std::vector<keyed_line> lines_;
};

// Reassembles the JSON of a declaration, item by item.
class frame_reader {
 public:
  bool Add(std::string_view line) {
    const auto tab = line.find('\t');
    if (tab == std::string_view::npos)
      return false;
    const auto key = line.substr(0, tab);
    const std::string value(line.substr(tab + 1));
    const auto space = std::min(key.find(' '), key.size());
    const std::string member(key.substr(0, space));
    if (space == key.size())
      members_[member] = value;
    else if (member == kTargets)
      AppendTo(targets_[SecondWord(key)], value);
    else if (member == kServices)
      services_[SecondWord(key)] = value;
    else
      AppendTo(lists_[member], value);
    return true;
  }

  std::string Json() const {
    std::string json;
    for (const auto& [name, value] : members_)
      AppendTo(json, JsonQuote(name) + ':' + value);
    for (const auto& [name, items] : lists_)
      AppendTo(json, JsonQuote(name) + ":[" + items + ']');
    std::string services;
    for (const auto& [name, value] : services_)
      AppendTo(services, WithTargets(name, value));
    AppendTo(json, "\"services\":[" + services + ']');
    return '{' + json + '}';
  }

 private:
  static std::string SecondWord(std::string_view key) {
    key.remove_prefix(key.find(' ') + 1);
    return std::string(key.substr(0, key.find(' ')));
  }

  static void AppendTo(std::string& items, const std::string& item) {
    if (!items.empty())
      items += ',';
    items += item;
  }

  std::string WithTargets(const std::string& name, std::string value) const {
    const auto found = targets_.find(name);
    const auto& items = found == targets_.end() ? std::string() : found->second;
    value.pop_back();
    return value + ",\"targets\":[" + items + "]}";
  }

  std::map<std::string, std::string> members_;
  std::map<std::string, std::string> lists_;
  std::map<std::string, std::string> services_;
  std::map<std::string, std::string> targets_;
};

}  // namespace

std::vector<keyed_line> BlockLines(const std::vector<client_block>& blocks) {
  std::vector<keyed_line> lines;
  lines.reserve(blocks.size());
  for (const auto& block : blocks)
    lines.push_back(MakeKeyedLine(FormatClientBlock(block), block.region));
  return lines;
}

std::vector<keyed_line> FrameLines(const declaration& declared) {
  declaration frame;
  frame.name = declared.name;
  frame.regions = declared.regions;
  frame.latencies = declared.latencies;
  frame.default_region = declared.default_region;
  frame.services = declared.services;
  frame.shift_caps = declared.shift_caps;
  frame.drains = declared.drains;
  frame.limits = declared.limits;
  const auto json = ReadJsonText(WriteDeclaration(frame)).value();
  return frame_writer().Write(*json);
}

result<client_block> ReadBlockLine(std::string_view line) {
  const auto tab = line.find('\t');
  if (tab == std::string_view::npos)
    return MakeError(result_code::kStoreCorrupt,
                     "client block line without region");
  auto block = ParseClientBlock(line.substr(0, tab));
  if (!block)
    return MakeError(result_code::kStoreCorrupt,
                     "client block line with a malformed address block");
  block->region = line.substr(tab + 1);
  return *block;
}

result<declaration> ReadFrame(const std::vector<std::string_view>& lines) {
  frame_reader reader;
  for (const auto line : lines) {
    if (!reader.Add(line))
      return MakeError(result_code::kStoreCorrupt, "malformed frame line");
  }
  return ReadAcceptedDeclaration(reader.Json());
}

}  // namespace samphire
