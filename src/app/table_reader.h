// Reads typed fields from a TOML table and collects all errors.
#pragma once

#include <toml++/toml.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// One error in a settings or resource document.
struct SettingsError {
  std::string file;
  // Line of the key, starting at 1; 0 if the document was not parsed from text.
  int line = 0;
  // Dotted path of the key.
  std::string key;
  // The error and the allowed values, to be read after the key.
  std::string message;

  // "file:line: key: message".
  [[nodiscard]] std::string ToString() const;
};

// The names of the values of a field that has a fixed set of values.
template <typename T>
using ChoiceNames = std::vector<std::pair<std::string_view, T>>;

// Parses a duration like "250ms", "2s" or "1.5h": a number and us, ms, s, m or
// h. Empty if it is malformed or longer than 1e9 seconds.
std::optional<Duration> ParseDuration(std::string_view text);

// Reads one table. After every field has been read once, ReportUnknownKeys
// reports the remaining keys.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, std::string file,
              std::vector<SettingsError>& errors);

  // Each of these leaves `value` unchanged when the key is absent or its value
  // is invalid; an invalid value is an error.
  void Text(const char* key, std::string& value, bool required = false);
  void Integer(const char* key, int& value, int min, int max);
  void Number(const char* key, double& value, double min, double max);
  void Boolean(const char* key, bool& value);
  void TextArray(const char* key, std::vector<std::string>& value);
  void Time(const char* key, Duration& value, Duration min, Duration max);
  void Time(const char* key, std::optional<Duration>& value, Duration min,
            Duration max);
  template <typename T>
  void Choice(const char* key, T& value, const ChoiceNames<T>& names);

  // Adds an error for each key that no call has read.
  void ReportUnknownKeys();
  // Adds an error at a key of this table.
  void AddError(const std::string& key, const std::string& message);
  // Line of a key, or of the table if the key is absent.
  [[nodiscard]] int LineOf(const std::string& key) const;

 private:
  const toml::node* Find(const char* key);

  const toml::table& table;
  std::string path;
  std::string file;
  std::vector<SettingsError>& errors;
  // Keys that calls have read.
  std::set<std::string> read_keys;
};

template <typename T>
void TableReader::Choice(const char* key, T& value,
                         const ChoiceNames<T>& names) {
  std::string text;
  const std::size_t error_count = this->errors.size();
  this->Text(key, text);
  if (text.empty() || this->errors.size() > error_count) {
    return;
  }
  std::string allowed;
  for (const auto& [name, meaning] : names) {
    if (name == text) {
      value = meaning;
      return;
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(name);
  }
  this->AddError(key, "is \"" + text + "\"; allowed: " + allowed);
}

}  // namespace rosemarycove
