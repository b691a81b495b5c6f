// The settings of one instance.
#pragma once

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "app/resource_document.h"
#include "app/table_reader.h"
#include "core/resources.h"
#include "core/types.h"

namespace rosemarycove {

// An address to listen on or to connect to.
struct Endpoint {
  std::string host;
  int port = 0;
};

// How log lines are written.
enum class LogFormat : std::uint8_t { kJson, kText };

// Everything that an instance learns from its settings file.
struct Settings {
  std::string name;
  std::string data_centre;
  Endpoint listen;
  Endpoint operator_listen;
  // Operators' token; empty leaves the operator interface off.
  std::string operator_token;
  // Connections served at the same time, each by a thread.
  int max_connections = 512;
  LogFormat log_format = LogFormat::kJson;
  std::string log_level = "info";
  // The platform's key-value service; none runs the instance alone.
  std::optional<Endpoint> store;
  // The platform's list of instances; none keeps no links to others.
  std::optional<Endpoint> instance_list;
  // Where other instances connect to, and the secret shared with them.
  Endpoint peer_listen;
  std::string peer_secret;
  Duration connect_timeout = std::chrono::seconds(1);
  // A backend server that sends nothing for this long is given up.
  Duration stall_timeout = std::chrono::seconds(15);
  // Time to read one request, and to write one part of an answer.
  Duration read_timeout = std::chrono::seconds(15);
  Duration write_timeout = std::chrono::seconds(5);
  // Time that an idle connection of a caller is kept.
  Duration idle_timeout = std::chrono::seconds(5);
  // Longest wait for the streams of a stopping instance.
  Duration drain_timeout = std::chrono::minutes(10);
  // Period of asking backend servers for their load.
  Duration load_period = std::chrono::seconds(1);
  // Resources of an instance that runs alone.
  std::optional<ResourceSet> resources;
};

// Parses "127.0.0.1:8080".
std::optional<Endpoint> ParseEndpoint(const std::string& text);

// Reads and checks a settings file.
tl::expected<Settings, SettingsErrors> LoadSettings(const std::string& file);

// Checks the text of a settings or resource document.
tl::expected<Settings, SettingsErrors> ParseSettings(std::string_view text,
                                                     const std::string& file);

// Reads a whole file; the error says why it can't be read.
tl::expected<std::string, SettingsErrors> ReadFile(const std::string& file);

}  // namespace rosemarycove
