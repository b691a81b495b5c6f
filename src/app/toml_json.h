// Converts between JSON and TOML values.
#pragma once

#include <toml++/toml.h>

#include <nlohmann/json.hpp>

namespace rosemarycove {

// Converts a JSON object to a TOML table without its null values, which TOML
// can't represent.
toml::table ToTomlTable(const nlohmann::json& object);

// Converts a TOML value to JSON.
nlohmann::json ToJson(const toml::node& node);

}  // namespace rosemarycove
