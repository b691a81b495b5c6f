// Turns JSON values into TOML and back.
#pragma once

#include <toml++/toml.h>

#include <nlohmann/json.hpp>

namespace rosemarycove {

// A JSON object as a TOML table; nulls are left out, since TOML has none.
toml::table ToTomlTable(const nlohmann::json& object);

// Any TOML value as JSON.
nlohmann::json ToJson(const toml::node& node);

}  // namespace rosemarycove
