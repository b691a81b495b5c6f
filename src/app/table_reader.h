// Reads typed fields out of a TOML table and collects every fault.
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

// One fault in a settings or resource file.
struct SettingsError {
  std::string file;
  // Line of the key, from 1; 0 where the source has no lines.
  int line = 0;
  // Dotted path of the key.
  std::string key;
  // What is wrong and what is allowed.
  std::string message;

  // "file:line: key: message".
  [[nodiscard]] std::string ToString() const;
};

// The words that a field of an enumeration takes.
template <typename T>
using Words = std::vector<std::pair<std::string_view, T>>;

// Parses "250ms", "2s", "1.5h" and the like: a number and us, ms, s, m or h.
std::optional<Duration> ParseDuration(std::string_view text);

// Reads one table. Each field is named once; Finish reports keys left over.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string path, std::string file,
              std::vector<SettingsError>& errors);

  // Each of these leaves `value` as it was when the key is absent.
  void Text(const char* key, std::string& value, bool required = false);
  void Integer(const char* key, int& value, int min, int max);
  void Number(const char* key, double& value, double min, double max);
  void Boolean(const char* key, bool& value);
  void Texts(const char* key, std::vector<std::string>& value);
  void Time(const char* key, Duration& value, Duration min, Duration max);
  void Time(const char* key, std::optional<Duration>& value, Duration min,
            Duration max);
  template <typename T>
  void Choice(const char* key, T& value, const Words<T>& words);

  // Reports the keys that no call named.
  void Finish();
  // Adds a fault at a key of this table.
  void Fail(const std::string& key, const std::string& message);
  // Line of a key, or of the table itself when the key is absent.
  [[nodiscard]] int Line(const std::string& key) const;

 private:
  const toml::node* Find(const char* key);

  const toml::table& table;
  std::string path;
  std::string file;
  std::vector<SettingsError>& errors;
  std::set<std::string> known;
};

template <typename T>
void TableReader::Choice(const char* key, T& value, const Words<T>& words) {
  std::string text;
  const std::size_t faults = this->errors.size();
  this->Text(key, text);
  if (text.empty() || this->errors.size() > faults) {
    return;
  }
  std::string allowed;
  for (const auto& [word, meaning] : words) {
    if (word == text) {
      value = meaning;
      return;
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(word);
  }
  this->Fail(key, "is \"" + text + "\"; allowed: " + allowed);
}

}  // namespace rosemarycove
