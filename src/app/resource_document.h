// Resources as a TOML document, the format of resource files, the store and the
// operator API.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "app/table_reader.h"
#include "core/resources.h"

namespace rosemarycove {

// The errors in a document. Not empty when returned as an error.
using SettingsErrors = std::vector<SettingsError>;

// Parses TOML text. A syntax error gives its line.
tl::expected<toml::table, SettingsErrors> ParseToml(std::string_view text,
                                                    const std::string& file);

// The top-level keys of a document that belong to resources.
inline constexpr std::string_view kResourceKeys[] = {
    "class", "customer", "service", "backend", "limits", "revision"};

// Reads the resources of a parsed document and validates them as a whole.
// `file` is the document's name in errors. Ignores all other top-level keys.
tl::expected<ResourceSet, SettingsErrors> ReadResources(
    const toml::table& document, const std::string& file);

// Parses the text of a resource document. Other top-level keys are errors.
tl::expected<ResourceSet, SettingsErrors> ParseResources(
    std::string_view text, const std::string& file);

// Returns the resources as a document that ParseResources accepts.
toml::table WriteResources(const ResourceSet& resources);

// Format a document as TOML or as JSON.
std::string ToTomlText(const toml::table& document);
std::string ToJsonText(const toml::table& document);

}  // namespace rosemarycove
