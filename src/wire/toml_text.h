// Parses TOML that other programs wrote.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace rosemarycove {

// Where and why a text is not TOML.
struct TomlError {
  int line = 0;
  std::string message;
};

// Parses a text of any bytes; `file` is recorded as its source. Throws nothing.
tl::expected<toml::table, TomlError> ParseTomlText(std::string_view text,
                                                   const std::string& file);

}  // namespace rosemarycove
