// Writes typed fields into a TOML table; the counterpart of TableReader.
#pragma once

#include <toml++/toml.h>

#include <optional>
#include <string>
#include <vector>

#include "app/table_reader.h"
#include "core/types.h"

namespace rosemarycove {

// Formats a duration for ParseDuration, without loss down to microseconds.
std::string FormatDuration(Duration duration);

// Fills one table. The methods have the parameters of TableReader's, so that
// one template can read and write the same fields; the limits are not used.
class TableWriter {
 public:
  void Text(const char* key, const std::string& value, bool required = false);
  void Integer(const char* key, int value, int min, int max);
  void Number(const char* key, double value, double min, double max);
  void Boolean(const char* key, bool value);
  void TextArray(const char* key, const std::vector<std::string>& value);
  void Time(const char* key, Duration value, Duration min, Duration max);
  void Time(const char* key, std::optional<Duration> value, Duration min,
            Duration max);
  template <typename T>
  void Choice(const char* key, T value, const ChoiceNames<T>& names) {
    for (const auto& [name, meaning] : names) {
      if (meaning == value) {
        this->table.insert_or_assign(key, std::string(name));
      }
    }
  }

  // Moves out the table filled so far.
  toml::table&& Release() { return std::move(this->table); }

 private:
  toml::table table;
};

}  // namespace rosemarycove
