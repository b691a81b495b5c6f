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

// An address to bind or to connect to.
struct Endpoint {
  std::string host;
  int port = 0;
};

// Format of the log lines.
enum class LogFormat : std::uint8_t { kJson, kText };

// The contents of an instance's settings file.
struct Settings {
  std::string name;
  std::string data_centre;
  Endpoint listen;
  Endpoint operator_listen;
  // Bearer token of the operator API, required where operator_listen is set.
  std::string operator_token;
  // Limit on concurrent caller connections. Each is served by a thread.
  int max_connections = 512;
  LogFormat log_format = LogFormat::kJson;
  std::string log_level = "info";
  // The platform's key-value store. Without it, the instance uses the resources
  // of this file and doesn't share them with others.
  std::optional<Endpoint> store;
  // The platform's list of instances. Without it, the instance has no links to
  // other instances.
  std::optional<Endpoint> instance_list;
  // Address that other instances connect to, and the secret shared with them.
  Endpoint peer_listen;
  std::string peer_secret;
  Duration connect_timeout = std::chrono::seconds(1);
  // An attempt fails if its backend server sends nothing for this long.
  Duration stall_timeout = std::chrono::seconds(15);
  // Time to read one request, and to write one part of a response.
  Duration read_timeout = std::chrono::seconds(15);
  Duration write_timeout = std::chrono::seconds(5);
  // Time after which an idle caller connection is closed.
  Duration idle_timeout = std::chrono::seconds(5);
  // Limit on the time that a stopping instance waits for its open requests.
  Duration drain_timeout = std::chrono::minutes(10);
  // Time between two polls of a backend server's load.
  Duration load_period = std::chrono::seconds(1);
  // Resources of an instance without a store; not set with a store.
  std::optional<ResourceSet> resources;
};

// Parses an address like "127.0.0.1:8080". Empty if it is malformed.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

// Reads and validates a settings file.
tl::expected<Settings, SettingsErrors> LoadSettings(const std::string& file);

// Parses and validates the text of a settings document. `file` is its name in
// errors.
tl::expected<Settings, SettingsErrors> ParseSettings(std::string_view text,
                                                     const std::string& file);

// Reads a whole file. The error gives the reason why it can't be read.
tl::expected<std::string, SettingsErrors> ReadFile(const std::string& file);

}  // namespace rosemarycove
