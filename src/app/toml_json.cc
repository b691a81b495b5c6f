#include "app/toml_json.h"

#include <cstdint>
#include <string>

#include "app/resource_document.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Inserts a JSON value into a table unless it is null.
void Insert(toml::table& table, const std::string& key, const json& value);

toml::array ToTomlArray(const json& values) {
  toml::array array;
  for (const json& value : values) {
    toml::table holder;
    Insert(holder, "value", value);
    if (const toml::node* node = holder.get("value")) {
      array.push_back(*node);
    }
  }
  return array;
}

void Insert(toml::table& table, const std::string& key, const json& value) {
  if (value.is_string()) {
    table.insert_or_assign(key, value.get<std::string>());
  } else if (value.is_boolean()) {
    table.insert_or_assign(key, value.get<bool>());
  } else if (value.is_number_integer()) {
    table.insert_or_assign(key, value.get<std::int64_t>());
  } else if (value.is_number()) {
    table.insert_or_assign(key, value.get<double>());
  } else if (value.is_array()) {
    table.insert_or_assign(key, ToTomlArray(value));
  } else if (value.is_object()) {
    table.insert_or_assign(key, ToTomlTable(value));
  }
}

}  // namespace

toml::table ToTomlTable(const nlohmann::json& object) {
  toml::table table;
  for (const auto& [key, value] : object.items()) {
    Insert(table, key, value);
  }
  return table;
}

nlohmann::json ToJson(const toml::node& node) {
  toml::table holder;
  holder.insert_or_assign("value", node);
  return json::parse(ToJsonText(holder))["value"];
}

}  // namespace rosemarycove
