#include "base/json_cursor.h"

namespace samphire {

namespace {

bool IsSpace(char c) {
  return c == ' ' || c == '\n' || c == '\t' || c == '\r';
}

bool IsNumberCharacter(char c) {
  return (c >= '0' && c <= '9') || c == '-' || c == '+' || c == '.' ||
         c == 'e' || c == 'E';
}

}  // namespace

std::size_t json_cursor::SkipSpace() {
  while (position_ < text_.size() && IsSpace(text_[position_]))
    ++position_;
  return position_;
}

bool json_cursor::Fail() {
  failed_ = true;
  return false;
}

bool json_cursor::Take(char c) {
  SkipSpace();
  if (failed_ || position_ >= text_.size() || text_[position_] != c)
    return false;
  ++position_;
  return true;
}

bool json_cursor::Enter(char bracket) {
  if (!Take(bracket))
    return Fail();
  after_value_ = false;
  return true;
}

bool json_cursor::ContinuesBefore(char end) {
  if (failed_)
    return false;
  if (Take(end)) {
    after_value_ = true;
    return false;
  }
  return !after_value_ || Take(',') || Fail();
}

std::optional<std::string_view> json_cursor::NextMember() {
  if (!ContinuesBefore('}'))
    return std::nullopt;
  const auto start = SkipSpace() + 1;
  if (!SkipString())
    return std::nullopt;
  const auto name = text_.substr(start, position_ - start - 1);
  if (!Take(':')) {
    Fail();
    return std::nullopt;
  }
  return name;
}

bool json_cursor::NextElement() {
  return ContinuesBefore(']');
}

std::string_view json_cursor::SkipValue() {
  const auto start = SkipSpace();
  if (failed_ || start >= text_.size()) {
    Fail();
    return {};
  }
  const char c = text_[start];
  const bool skipped = c == '"'               ? SkipString()
                       : c == '{' || c == '[' ? SkipContainer()
                                              : SkipLiteral();
  if (!skipped)
    return {};
  after_value_ = true;
  return TextFrom(start);
}

bool json_cursor::SkipIfEqual(std::string_view text) {
  SkipSpace();
  if (failed_ || text.empty() || !text_.substr(position_).starts_with(text))
    return false;
  position_ += text.size();
  after_value_ = true;
  return true;
}

bool json_cursor::AtEnd() {
  return !failed_ && SkipSpace() == text_.size();
}

bool json_cursor::SkipString() {
  if (!Take('"'))
    return Fail();
  while (position_ < text_.size()) {
    const char c = text_[position_++];
    if (c == '"')
      return true;
    if (c == '\\')
      ++position_;
  }
  return Fail();
}

bool json_cursor::SkipLiteral() {
  for (const std::string_view literal : {"true", "false", "null"}) {
    if (text_.substr(position_).starts_with(literal)) {
      position_ += literal.size();
      return true;
    }
  }
  const auto start = position_;
  while (position_ < text_.size() && IsNumberCharacter(text_[position_]))
    ++position_;
  return position_ > start || Fail();
}

// One value that is nested deeply must not make the whole text unreadable, nor
// use up the stack, so that the open brackets are kept here.
bool json_cursor::SkipContainer() {
  std::string open;
  do {
    const char c = text_[position_];
    if (c == '{' || c == '[') {
      Enter(c);
      open.push_back(c);
    } else if (c == '"' ? SkipString() : SkipLiteral()) {
      after_value_ = true;
    }
    if (failed_ || !SkipToValue(open))
      return false;
  } while (!open.empty());
  return true;
}

bool json_cursor::SkipToValue(std::string& open) {
  while (!open.empty()) {
    const bool more =
        open.back() == '{' ? NextMember().has_value() : NextElement();
    if (failed_)
      return false;
    if (more)
      return SkipSpace() < text_.size() || Fail();
    open.pop_back();
  }
  return true;
}

std::optional<std::string_view> FindJsonMember(std::string_view object,
                                               std::string_view name) {
  json_cursor cursor(object);
  if (!cursor.EnterObject())
    return std::nullopt;
  while (const auto member = cursor.NextMember()) {
    const auto value = cursor.SkipValue();
    if (cursor.failed())
      return std::nullopt;
    if (*member == name)
      return value;
  }
  return std::nullopt;
}

}  // namespace samphire
