// Resources as a TOML document: the form of files, of the store and of the
// operator interface.
#pragma once

#include <toml++/toml.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "app/table_reader.h"
#include "core/resources.h"

namespace rosemarycove {

// The faults of a document; never empty in an error.
using SettingsErrors = std::vector<SettingsError>;

// Parses TOML text; the error names its line.
tl::expected<toml::table, SettingsErrors> ParseToml(std::string_view text,
                                                    const std::string& file);

// The array tables and tables of a document that hold resources.
inline constexpr std::string_view kResourceKeys[] = {
    "class", "customer", "service", "backend", "limits", "revision"};

// Reads the resources of a parsed document and validates them as a whole.
// `file` names the document in errors. Keys of other kinds are left alone.
tl::expected<ResourceSet, SettingsErrors> ReadResources(
    const toml::table& document, const std::string& file);

// Parses the text of a resource document that holds nothing else.
tl::expected<ResourceSet, SettingsErrors> ParseResources(
    std::string_view text, const std::string& file);

// Writes resources as a document that ParseResources reads.
toml::table WriteResources(const ResourceSet& resources);

// The document as TOML text or as JSON text.
std::string ToTomlText(const toml::table& document);
std::string ToJsonText(const toml::table& document);

}  // namespace rosemarycove
