#include "wire/json_decoder.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>

namespace rosemarycove {
namespace {

using nlohmann::json;

// The id of the exception for a number that no double can hold.
constexpr int kNumberOverflow = 406;
// U+FFFD, the replacement character, in UTF-8 and as an escape.
constexpr std::string_view kReplacement = "\xef\xbf\xbd";
constexpr std::string_view kReplacementEscape = "\\ufffd";

// Returns the position after the string that begins with the quote at `quote`.
std::size_t EndOfString(std::string_view text, std::size_t quote) {
  std::size_t end = quote;
  while (true) {
    end = text.find('"', end + 1);
    if (end == std::string_view::npos) {
      return text.size();
    }
    const std::size_t before = text.find_last_not_of('\\', end - 1);
    if ((end - 1 - before) % 2 == 0) {
      return end + 1;
    }
  }
}

// Returns whether arrays and objects are nested more deeply. Brackets in
// strings don't count.
bool IsDeeperThan(std::string_view text, int max_depth) {
  int depth = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char byte = text[i];
    if (byte == '"') {
      i = EndOfString(text, i) - 1;
    } else if (byte == '[' || byte == '{') {
      if (++depth > max_depth) {
        return true;
      }
    } else if (byte == ']' || byte == '}') {
      --depth;
    }
  }
  return false;
}

// Replaces strings of more bytes by empty ones.
std::string EmptyLongStrings(std::string_view text, std::size_t max_bytes) {
  constexpr std::size_t kQuotes = 2;
  std::string shorter;
  while (!text.empty()) {
    const std::size_t quote = std::min(text.find('"'), text.size());
    shorter.append(text.substr(0, quote));
    text.remove_prefix(quote);
    if (!text.empty()) {
      const std::size_t end = EndOfString(text, 0);
      shorter.append(end > max_bytes + kQuotes ? "\"\"" : text.substr(0, end));
      text.remove_prefix(end);
    }
  }
  return shorter;
}

// Returns the length of the UTF-8 sequence at the start of the text; 0 if there
// is none.
std::size_t Utf8Length(std::string_view text) {
  const auto byte = [&](std::size_t i) {
    return i < text.size() ? static_cast<unsigned char>(text[i]) : 0U;
  };
  const unsigned first = byte(0);
  if (first < 0x80U) {
    return 1;
  }
  const std::size_t length = first >= 0xf0U ? 4 : first >= 0xe0U ? 3 : 2;
  // Overlong forms, surrogates and numbers above U+10FFFF are no characters.
  const bool out_of_range = first < 0xc2U || first > 0xf4U ||
                            (first == 0xe0U && byte(1) < 0xa0U) ||
                            (first == 0xedU && byte(1) > 0x9fU) ||
                            (first == 0xf0U && byte(1) < 0x90U) ||
                            (first == 0xf4U && byte(1) > 0x8fU);
  for (std::size_t i = 1; i < length; ++i) {
    if (out_of_range || (byte(i) & 0xc0U) != 0x80U) {
      return 0;
    }
  }
  return length;
}

// Returns the UTF-16 unit of the escape "\uXXXX" at the start of the text.
std::optional<unsigned> ReadEscape(std::string_view text) {
  constexpr std::size_t kEscapeLength = 6;
  constexpr unsigned kBase = 16;
  if (text.size() < kEscapeLength || text[0] != '\\' || text[1] != 'u') {
    return std::nullopt;
  }
  unsigned unit = 0;
  for (std::size_t i = 2; i < kEscapeLength; ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    if (std::isxdigit(byte) == 0) {
      return std::nullopt;
    }
    const bool is_digit = std::isdigit(byte) != 0;
    unit = unit * kBase +
           (is_digit ? byte - '0'
                     : static_cast<unsigned>(std::tolower(byte) - 'a' + 10));
  }
  return unit;
}

// Replaces bytes that are not UTF-8 and escapes of unpaired surrogates.
std::string ReplaceInvalidText(std::string_view text) {
  constexpr std::size_t kEscapeLength = 6;
  const auto is_in = [](std::optional<unsigned> unit, unsigned min,
                        unsigned max) {
    return unit && *unit >= min && *unit <= max;
  };
  std::string valid;
  valid.reserve(text.size());
  while (!text.empty()) {
    std::size_t length = Utf8Length(text);
    std::string_view replacement;
    if (length == 0) {
      length = 1;
      replacement = kReplacement;
    } else if (text.front() == '\\') {
      const std::optional<unsigned> unit = ReadEscape(text);
      length = unit ? kEscapeLength : std::min<std::size_t>(2, text.size());
      if (is_in(unit, 0xd800, 0xdbff) &&
          is_in(ReadEscape(text.substr(kEscapeLength)), 0xdc00, 0xdfff)) {
        length = 2 * kEscapeLength;
      } else if (is_in(unit, 0xd800, 0xdfff)) {
        replacement = kReplacementEscape;
      } else if (!unit && length == 2 && Utf8Length(text.substr(1)) != 1) {
        // The next byte is not part of the escape.
        length = 1;
      }
    }
    valid.append(replacement.empty() ? text.substr(0, length) : replacement);
    text.remove_prefix(length);
  }
  return valid;
}

[[noreturn]] void Fail(const char* name, const std::string& fault) {
  throw JsonFieldError{std::string(name) + " " + fault};
}

template <typename T>
[[noreturn]] void FailRange(const char* name, T min, T max) {
  Fail(name, fmt::format("is not from {} to {}", min, max));
}

}  // namespace

JsonFields::JsonFields(const json& value, std::string_view name)
    : object(value) {
  if (!value.is_object()) {
    throw JsonFieldError{std::string(name) + " is not a JSON object"};
  }
}

bool JsonFields::Has(const char* name) const {
  return this->object.contains(name);
}

const json& JsonFields::Find(const char* name) const {
  const auto found = this->object.find(name);
  if (found == this->object.end()) {
    Fail(name, "is missing");
  }
  return *found;
}

std::string JsonFields::String(const char* name) const {
  const json& value = this->Find(name);
  if (!value.is_string()) {
    Fail(name, "is not a string");
  }
  return value.get<std::string>();
}

std::string JsonFields::StringOr(const char* name,
                                 std::string default_value) const {
  return this->Has(name) ? this->String(name) : std::move(default_value);
}

std::string JsonFields::Name(const char* name) const {
  std::string text = this->String(name);
  if (text.empty() || std::any_of(text.begin(), text.end(), [](char byte) {
        return std::iscntrl(static_cast<unsigned char>(byte)) != 0;
      })) {
    Fail(name, "is empty or has control characters");
  }
  return text;
}

std::int64_t JsonFields::Integer(const char* name, std::int64_t min,
                                 std::int64_t max) const {
  const json& value = this->Find(name);
  if (!value.is_number()) {
    Fail(name, "is not a number");
  }
  if (value.is_number_float()) {
    const auto number = value.get<double>();
    if (std::trunc(number) != number) {
      Fail(name, "is not a whole number");
    }
    // Compared as doubles: the conversion of a larger one is undefined. The
    // largest integer isn't a double, and 2^63 is none.
    if (!(number >= static_cast<double>(min) &&
          number <= static_cast<double>(max) && number < 0x1p63)) {
      FailRange(name, min, max);
    }
    return static_cast<std::int64_t>(number);
  }
  const bool exceeds_int64 =
      value.is_number_unsigned() &&
      value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (exceeds_int64 || value.get<std::int64_t>() < min ||
      value.get<std::int64_t>() > max) {
    FailRange(name, min, max);
  }
  return value.get<std::int64_t>();
}

double JsonFields::Number(const char* name, double min, double max) const {
  const json& value = this->Find(name);
  if (!value.is_number()) {
    Fail(name, "is not a number");
  }
  const auto number = value.get<double>();
  if (!(number >= min && number <= max)) {
    FailRange(name, min, max);
  }
  return number;
}

std::map<std::string, double> JsonFields::Numbers(const char* name, double min,
                                                  double max) const {
  const JsonFields members = this->Object(name);
  std::map<std::string, double> numbers;
  for (const auto& [key, value] : members.object.items()) {
    numbers[key] = members.Number(key.c_str(), min, max);
  }
  return numbers;
}

bool JsonFields::BooleanOr(const char* name, bool default_value) const {
  if (!this->Has(name)) {
    return default_value;
  }
  const json& value = this->Find(name);
  if (!value.is_boolean()) {
    Fail(name, "is not a boolean");
  }
  return value.get<bool>();
}

JsonFields JsonFields::Object(const char* name) const {
  return JsonFields(this->Find(name), name);
}

const json& JsonFields::Array(const char* name) const {
  const json& value = this->Find(name);
  if (!value.is_array()) {
    Fail(name, "is not a list");
  }
  return value;
}

std::vector<JsonFields> JsonFields::Objects(const char* name) const {
  std::vector<JsonFields> objects;
  for (const json& item : this->Array(name)) {
    objects.emplace_back(item, std::string("an item of ") + name);
  }
  return objects;
}

std::vector<std::string> JsonFields::Strings(const char* name) const {
  std::vector<std::string> strings;
  for (const json& item : this->Array(name)) {
    if (!item.is_string()) {
      Fail(name, "has an item that is not a string");
    }
    strings.push_back(item.get<std::string>());
  }
  return strings;
}

tl::expected<json, std::string> JsonDecoder::Parse(
    std::string_view text) const {
  if (text.size() > this->limits.max_bytes) {
    return tl::unexpected("the text has more than " +
                          std::to_string(this->limits.max_bytes) + " bytes");
  }
  if (IsDeeperThan(text, this->limits.max_depth)) {
    return tl::unexpected("the value has more than " +
                          std::to_string(this->limits.max_depth) + " levels");
  }
  if (text.empty()) {
    return tl::unexpected(std::string("the value is empty, or was too long"));
  }
  std::string shorter;
  if (text.size() > this->limits.max_string_bytes) {
    shorter = EmptyLongStrings(text, this->limits.max_string_bytes);
    text = shorter;
  }
  try {
    return json::parse(text);
  } catch (const json::parse_error& error) {
    if (this->limits.replaces_invalid_text) {
      const std::string valid = ReplaceInvalidText(text);
      if (valid != text) {
        return JsonDecoder({.max_bytes = valid.size(),
                            .max_depth = this->limits.max_depth})
            .Parse(valid);
      }
    }
    return tl::unexpected("the value is not JSON from byte " +
                          std::to_string(error.byte) + " on");
  } catch (const json::exception& error) {
    return tl::unexpected(std::string(error.id == kNumberOverflow
                                          ? "a number is out of range"
                                          : "the value is not JSON"));
  }
}

}  // namespace rosemarycove
