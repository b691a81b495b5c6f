#include "app/settings.h"

#include <cerrno>
#include <charconv>
#include <cstring>
#include <fstream>
#include <sstream>

namespace rosemarycove {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr int kMaxConnections = 20000;
constexpr std::size_t kMinSecretLength = 16;

// Reads the sections of one settings document.
class SettingsReader {
 public:
  SettingsReader(const toml::table& document, const std::string& file)
      : document(document), file(file) {}

  tl::expected<Settings, SettingsErrors> Read() {
    this->ReadInstance();
    this->ReadLog();
    this->ReadPlatform();
    this->ReadPeers();
    this->ReadTimeouts();
    this->ReadResourceSet();
    this->ReportUnknownSections();
    if (!this->errors.empty()) {
      return tl::unexpected(std::move(this->errors));
    }
    return std::move(this->settings);
  }

 private:
  // The section's table, or an empty table where the section is absent.
  const toml::table& Section(const std::string& name) {
    static const toml::table kEmpty;
    const toml::node* node = this->document.get(name);
    if (node == nullptr) {
      return kEmpty;
    }
    if (!node->is_table()) {
      this->errors.push_back(
          {.file = this->file,
           .line = static_cast<int>(node->source().begin.line),
           .key = name,
           .message = "must be a table, [" + name + "]"});
      return kEmpty;
    }
    return *node->as_table();
  }

  void ReadEndpoint(TableReader& reader, const char* key, Endpoint& endpoint,
                    bool required) {
    std::string text;
    reader.Text(key, text, required);
    if (text.empty()) {
      return;
    }
    const std::optional<Endpoint> parsed = ParseEndpoint(text);
    if (!parsed) {
      reader.AddError(key,
                      "must be an IP number and a port from 0 to 65535, like "
                      "127.0.0.1:8080");
      return;
    }
    endpoint = *parsed;
  }

  void ReadInstance() {
    TableReader reader(this->Section("instance"), "instance", this->file,
                       this->errors);
    reader.Text("name", this->settings.name, true);
    reader.Text("data_centre", this->settings.data_centre, true);
    this->ReadEndpoint(reader, "listen", this->settings.listen, true);
    this->ReadEndpoint(reader, "operator_listen",
                       this->settings.operator_listen, false);
    reader.Text("operator_token", this->settings.operator_token);
    reader.Integer("max_connections", this->settings.max_connections, 1,
                   kMaxConnections);
    if (!this->settings.operator_listen.host.empty() &&
        this->settings.operator_token.empty()) {
      reader.AddError("operator_token",
                      "is required where operator_listen is set");
    }
    reader.ReportUnknownKeys();
  }

  void ReadLog() {
    TableReader reader(this->Section("log"), "log", this->file, this->errors);
    reader.Choice("format", this->settings.log_format,
                  ChoiceNames<LogFormat>{{"json", LogFormat::kJson},
                                         {"text", LogFormat::kText}});
    reader.Choice("level", this->settings.log_level,
                  ChoiceNames<std::string>{{"debug", "debug"},
                                           {"info", "info"},
                                           {"warning", "warning"},
                                           {"error", "error"}});
    reader.ReportUnknownKeys();
  }

  void ReadPlatform() {
    TableReader reader(this->Section("platform"), "platform", this->file,
                       this->errors);
    Endpoint store;
    this->ReadEndpoint(reader, "store", store, false);
    if (!store.host.empty()) {
      this->settings.store = store;
    }
    Endpoint instance_list;
    this->ReadEndpoint(reader, "instances", instance_list, false);
    if (!instance_list.host.empty()) {
      this->settings.instance_list = instance_list;
    }
    reader.ReportUnknownKeys();
  }

  void ReadPeers() {
    TableReader reader(this->Section("peers"), "peers", this->file,
                       this->errors);
    this->ReadEndpoint(reader, "listen", this->settings.peer_listen, false);
    reader.Text("secret", this->settings.peer_secret);
    const bool listens = !this->settings.peer_listen.host.empty();
    if (listens && this->settings.peer_secret.size() < kMinSecretLength) {
      reader.AddError("secret",
                      "must have at least 16 characters where peers.listen is "
                      "set");
    }
    if (listens != this->settings.instance_list.has_value()) {
      reader.AddError(
          "listen",
          "and platform.instances must be set together or not at all");
    }
    reader.ReportUnknownKeys();
  }

  void ReadTimeouts() {
    TableReader reader(this->Section("timeouts"), "timeouts", this->file,
                       this->errors);
    Settings& out = this->settings;
    reader.Time("connect", out.connect_timeout, milliseconds(10), minutes(1));
    reader.Time("stall", out.stall_timeout, milliseconds(10), hours(1));
    reader.Time("read", out.read_timeout, milliseconds(10), minutes(10));
    reader.Time("write", out.write_timeout, milliseconds(10), minutes(10));
    reader.Time("idle", out.idle_timeout, milliseconds(10), minutes(10));
    reader.Time("drain", out.drain_timeout, milliseconds(10), hours(24));
    reader.Time("load_period", out.load_period, milliseconds(50), minutes(1));
    reader.ReportUnknownKeys();
  }

  void ReadResourceSet() {
    bool has_resources = false;
    int line = 0;
    for (const std::string_view key : kResourceKeys) {
      if (const toml::node* node = this->document.get(key)) {
        has_resources = true;
        line = static_cast<int>(node->source().begin.line);
      }
    }
    if (has_resources && this->settings.store) {
      this->errors.push_back(
          {.file = this->file,
           .line = line,
           .key = "platform.store",
           .message = "resources are declared in the store when it is set; "
                      "move them to a file and run 'rosemarycove apply'"});
      return;
    }
    if (!has_resources && !this->settings.store) {
      this->errors.push_back(
          {.file = this->file,
           .line = 0,
           .key = "platform.store",
           .message = "without a store the settings must declare resources "
                      "([[class]], [[customer]], [[service]], [[backend]])"});
      return;
    }
    if (!has_resources) {
      return;
    }
    tl::expected<ResourceSet, SettingsErrors> resources =
        ReadResources(this->document, this->file);
    if (resources) {
      this->settings.resources = std::move(*resources);
    } else {
      this->errors.insert(this->errors.end(), resources.error().begin(),
                          resources.error().end());
    }
  }

  void ReportUnknownSections() {
    for (const auto& [key, node] : this->document) {
      const std::string_view name = key.str();
      bool known = name == "instance" || name == "log" || name == "platform" ||
                   name == "peers" || name == "timeouts";
      for (const std::string_view resource : kResourceKeys) {
        known = known || name == resource;
      }
      if (!known) {
        this->errors.push_back(
            {.file = this->file,
             .line = static_cast<int>(node.source().begin.line),
             .key = std::string(name),
             .message =
                 "is not a known key; allowed: instance, log, platform, "
                 "peers, timeouts, class, customer, service, backend, limits"});
      }
    }
  }

  const toml::table& document;
  std::string file;
  Settings settings;
  SettingsErrors errors;
};

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  Endpoint endpoint{.host = text.substr(0, colon)};
  const char* end = text.data() + text.size();
  const auto [stop, error] =
      std::from_chars(text.data() + colon + 1, end, endpoint.port);
  constexpr int kMaxPort = 65535;
  if (error != std::errc{} || stop != end || endpoint.port < 0 ||
      endpoint.port > kMaxPort) {
    return std::nullopt;
  }
  return endpoint;
}

tl::expected<std::string, SettingsErrors> ReadFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  if (!stream || !(text << stream.rdbuf())) {
    return tl::unexpected(SettingsErrors{
        {.file = file,
         .line = 0,
         .key = "file",
         .message = std::string("can't be read: ") + std::strerror(errno)}});
  }
  return text.str();
}

tl::expected<Settings, SettingsErrors> ParseSettings(std::string_view text,
                                                     const std::string& file) {
  return ParseToml(text, file).and_then([&](const toml::table& document) {
    return SettingsReader(document, file).Read();
  });
}

tl::expected<Settings, SettingsErrors> LoadSettings(const std::string& file) {
  return ReadFile(file).and_then(
      [&](const std::string& text) { return ParseSettings(text, file); });
}

}  // namespace rosemarycove
