#include "app/table_reader.h"

#include <charconv>
#include <cmath>

namespace rosemarycove {
namespace {

// In milliseconds, without trailing zeros.
std::string FormatLimit(Duration duration) {
  const double milliseconds = ToSeconds(duration) * 1000;
  std::string text = std::to_string(milliseconds);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text + "ms";
}

std::string FormatLimit(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

}  // namespace

std::string SettingsError::ToString() const {
  std::string text = this->file;
  if (this->line > 0) {
    text += ":" + std::to_string(this->line);
  }
  return text + ": " + this->key + ": " + this->message;
}

std::optional<Duration> ParseDuration(std::string_view text) {
  static constexpr std::pair<std::string_view, double> kUnits[] = {
      {"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}};
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  const std::string_view unit =
      text.substr(static_cast<std::size_t>(end - text.data()));
  for (const auto& [name, seconds] : kUnits) {
    if (unit == name && number * seconds < 1e9) {
      return FromSeconds(number * seconds);
    }
  }
  return std::nullopt;
}

TableReader::TableReader(const toml::table& table, std::string path,
                         std::string file, std::vector<SettingsError>& errors)
    : table(table),
      path(std::move(path)),
      file(std::move(file)),
      errors(errors) {}

int TableReader::LineOf(const std::string& key) const {
  const toml::node* node = this->table.get(key);
  const toml::source_region& source =
      node != nullptr ? node->source() : this->table.source();
  return static_cast<int>(source.begin.line);
}

void TableReader::AddError(const std::string& key, const std::string& message) {
  this->errors.push_back(
      {.file = this->file,
       .line = this->LineOf(key),
       .key = this->path.empty() ? key : this->path + "." + key,
       .message = message});
}

const toml::node* TableReader::Find(const char* key) {
  this->read_keys.insert(key);
  return this->table.get(key);
}

void TableReader::Text(const char* key, std::string& value, bool required) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    if (required) {
      this->AddError(key, "is missing; a string is required");
    }
    return;
  }
  if (!node->is_string()) {
    this->AddError(key, "must be a string");
    return;
  }
  value = node->as_string()->get();
}

void TableReader::Integer(const char* key, int& value, int min, int max) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    return;
  }
  const auto* number = node->as_integer();
  if (number == nullptr || number->get() < min || number->get() > max) {
    this->AddError(key, "must be a whole number from " + std::to_string(min) +
                            " to " + std::to_string(max));
    return;
  }
  value = static_cast<int>(number->get());
}

void TableReader::Number(const char* key, double& value, double min,
                         double max) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    return;
  }
  const std::optional<double> number = node->value<double>();
  if (!node->is_number() || !(*number >= min && *number <= max)) {
    this->AddError(key, "must be a number from " + FormatLimit(min) + " to " +
                            FormatLimit(max));
    return;
  }
  value = *number;
}

void TableReader::Boolean(const char* key, bool& value) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    return;
  }
  if (!node->is_boolean()) {
    this->AddError(key, "must be true or false");
    return;
  }
  value = node->as_boolean()->get();
}

void TableReader::TextArray(const char* key, std::vector<std::string>& value) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    return;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    this->AddError(key, "must be an array of strings");
    return;
  }
  std::vector<std::string> texts;
  for (const toml::node& item : *array) {
    if (!item.is_string()) {
      this->AddError(key, "must be an array of strings");
      return;
    }
    texts.push_back(item.as_string()->get());
  }
  value = std::move(texts);
}

void TableReader::Time(const char* key, Duration& value, Duration min,
                       Duration max) {
  std::optional<Duration> read;
  this->Time(key, read, min, max);
  value = read.value_or(value);
}

void TableReader::Time(const char* key, std::optional<Duration>& value,
                       Duration min, Duration max) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) {
    return;
  }
  std::optional<Duration> parsed;
  if (node->is_string()) {
    parsed = ParseDuration(node->as_string()->get());
  }
  if (!parsed || *parsed < min || *parsed > max) {
    this->AddError(key,
                   "must be a string of a number and us, ms, s, m or h, from " +
                       FormatLimit(min) + " to " + FormatLimit(max));
    return;
  }
  value = parsed;
}

void TableReader::ReportUnknownKeys() {
  std::string allowed;
  for (const std::string& key : this->read_keys) {
    allowed += (allowed.empty() ? "" : ", ") + key;
  }
  for (const auto& [key, node] : this->table) {
    const std::string name(key.str());
    if (!this->read_keys.contains(name)) {
      this->AddError(name, "is not a known key; allowed: " + allowed);
    }
  }
}

}  // namespace rosemarycove
