#include "app/table_writer.h"

#include <utility>

namespace rosemarycove {

std::string FormatDuration(Duration duration) {
  static constexpr std::pair<Duration, const char*> kUnits[] = {
      {std::chrono::hours(1), "h"},
      {std::chrono::minutes(1), "m"},
      {std::chrono::seconds(1), "s"},
      {std::chrono::milliseconds(1), "ms"}};
  for (const auto& [unit, name] : kUnits) {
    if (duration >= unit && duration % unit == Duration{}) {
      return std::to_string(duration / unit) + name;
    }
  }
  const auto microseconds =
      std::chrono::duration_cast<std::chrono::microseconds>(duration);
  return std::to_string(microseconds.count()) + "us";
}

void TableWriter::Text(const char* key, const std::string& value,
                       bool /*required*/) {
  if (!value.empty()) {
    this->table.insert_or_assign(key, value);
  }
}

void TableWriter::Integer(const char* key, int value, int /*min*/,
                          int /*max*/) {
  this->table.insert_or_assign(key, value);
}

void TableWriter::Number(const char* key, double value, double /*min*/,
                         double /*max*/) {
  this->table.insert_or_assign(key, value);
}

void TableWriter::Boolean(const char* key, bool value) {
  this->table.insert_or_assign(key, value);
}

void TableWriter::TextArray(const char* key,
                            const std::vector<std::string>& value) {
  toml::array array;
  for (const std::string& text : value) {
    array.push_back(text);
  }
  this->table.insert_or_assign(key, std::move(array));
}

void TableWriter::Time(const char* key, Duration value, Duration /*min*/,
                       Duration /*max*/) {
  this->table.insert_or_assign(key, FormatDuration(value));
}

void TableWriter::Time(const char* key, std::optional<Duration> value,
                       Duration min, Duration max) {
  if (value) {
    this->Time(key, *value, min, max);
  }
}

}  // namespace rosemarycove
