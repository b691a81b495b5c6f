#include "wire/toml_text.h"

#include <algorithm>
#include <cctype>

namespace rosemarycove {
namespace {

constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

// Finds text for which the behaviour of toml++ 3.3 is undefined, or which fails
// its assertions: letters that are not ASCII outside strings and comments, and
// a table's name that does not begin like a key. Neither is TOML.
class UnsafeTextFinder {
 public:
  explicit UnsafeTextFinder(std::string_view text) : text(text) {
    if (text.starts_with(kByteOrderMark)) {
      this->at = kByteOrderMark.size();
    }
  }

  // Returns the position, or npos if there is none.
  std::size_t Find() {
    while (this->at < this->text.size()) {
      const char byte = this->text[this->at];
      if (byte == '#') {
        this->at = std::min(this->text.find('\n', this->at), this->text.size());
      } else if (byte == '"' || byte == '\'') {
        this->SkipString(byte);
      } else if (this->IsUnsafe()) {
        return this->at;
      } else {
        this->Advance(byte);
      }
    }
    return std::string_view::npos;
  }

 private:
  void SkipString(char quote) {
    this->at_line_start = false;
    const std::string triple(3, quote);
    const bool has_lines = this->text.substr(this->at).starts_with(triple);
    const std::string_view end = has_lines ? std::string_view(triple)
                                           : std::string_view(triple).substr(2);
    this->at += end.size();
    while (this->at < this->text.size()) {
      const std::string_view rest = this->text.substr(this->at);
      if (rest.starts_with(end)) {
        this->at += end.size();
        // Up to two quotes may precede those that end the string.
        while (has_lines && this->at < this->text.size() &&
               this->text[this->at] == quote) {
          ++this->at;
        }
        return;
      }
      if (!has_lines && rest.front() == '\n') {
        return;
      }
      this->at += quote == '"' && rest.front() == '\\' ? 2 : 1;
    }
  }

  [[nodiscard]] bool IsUnsafe() const {
    const std::string_view rest = this->text.substr(this->at);
    if (static_cast<unsigned char>(rest.front()) >= 0x80U) {
      return true;
    }
    if (rest.front() != '[' || !this->at_line_start || this->depth > 0) {
      return false;
    }
    const std::size_t brackets = rest.starts_with("[[") ? 2 : 1;
    const std::size_t name = rest.find_first_not_of(" \t", brackets);
    if (name == std::string_view::npos) {
      return false;
    }
    const auto first = static_cast<unsigned char>(rest[name]);
    return std::isalnum(first) == 0 &&
           std::string_view("_-\"']").find(rest[name]) ==
               std::string_view::npos;
  }

  void Advance(char byte) {
    if (byte == '[' || byte == '{') {
      ++this->depth;
    } else if ((byte == ']' || byte == '}') && this->depth > 0) {
      --this->depth;
    }
    if (byte == '\n') {
      this->at_line_start = true;
    } else if (byte != ' ' && byte != '\t') {
      this->at_line_start = false;
    }
    ++this->at;
  }

  std::string_view text;
  std::size_t at = 0;
  // Only blanks precede on the line.
  bool at_line_start = true;
  // The number of open arrays and tables.
  int depth = 0;
};

}  // namespace

tl::expected<toml::table, TomlError> ParseTomlText(std::string_view text,
                                                   const std::string& file) {
  const std::size_t unsafe = UnsafeTextFinder(text).Find();
  if (unsafe != std::string_view::npos) {
    const auto lines = std::count(
        text.begin(), text.begin() + static_cast<std::ptrdiff_t>(unsafe), '\n');
    return tl::unexpected(
        TomlError{.line = static_cast<int>(lines) + 1,
                  .message = "neither a key, a value nor a table begins here"});
  }
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    return tl::unexpected(
        TomlError{.line = static_cast<int>(error.source().begin.line),
                  .message = std::string(error.description())});
  }
}

}  // namespace rosemarycove
