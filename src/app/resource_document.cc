#include "app/resource_document.h"

#include <map>
#include <sstream>
#include <tuple>

#include "app/table_writer.h"
#include "store/digest.h"
#include "wire/toml_text.h"

namespace rosemarycove {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxTier = 16;
constexpr int kMaxCount = 1'000'000;
constexpr Duration kMaxTime = hours(24);
// Hexadecimal digits of a SHA-256.
constexpr std::size_t kKeyHashLength = 64;

// Reads or writes the fields of a resource, with a TableReader or a TableWriter
// as the archive, so that both use the same field names and limits.
template <typename Archive>
void ProcessFields(Archive& archive, RequestClass& item) {
  archive.Text("name", item.name, true);
  archive.Integer("tier", item.tier, 1, kMaxTier);
  archive.Time("first_token", item.target.first_token, milliseconds(1),
               kMaxTime);
  archive.Time("between_tokens", item.target.between_tokens, microseconds(100),
               seconds(60));
  archive.Time("whole", item.target.whole, milliseconds(1), kMaxTime);
  archive.Time("max_wait", item.max_wait, milliseconds(1), kMaxTime);
  archive.Choice("when_late", item.late_policy,
                 ChoiceNames<LatePolicy>{{"serve", LatePolicy::kServe},
                                         {"refuse", LatePolicy::kRefuse}});
  archive.Number("guaranteed_share", item.guaranteed_share, 0, 0.2);
  archive.Integer("max_in_flight", item.max_in_flight, 0, kMaxCount);
  archive.Boolean("repeatable", item.repeatable);
}

template <typename Archive>
void ProcessFields(Archive& archive, Customer& item) {
  archive.Text("name", item.name, true);
  archive.Text("key_hash", item.key_hash);
  archive.TextArray("classes", item.classes);
  archive.Text("default_class", item.default_class, true);
  archive.Number("weight", item.weight, 0.01, 100);
  archive.Integer("max_in_flight", item.max_in_flight, 0, kMaxCount);
}

template <typename Archive>
void ProcessFields(Archive& archive, Service& item) {
  archive.Text("name", item.name, true);
  archive.Choice("kind", item.kind,
                 ChoiceNames<ServiceKind>{{"model", ServiceKind::kModel},
                                          {"plain", ServiceKind::kPlain}});
  archive.TextArray("models", item.models);
  archive.Boolean("repeatable", item.repeatable);
}

template <typename Archive>
void ProcessFields(Archive& archive, Backend& item) {
  archive.Text("name", item.name, true);
  archive.Text("service", item.service, true);
  archive.Text("address", item.address, true);
  archive.Text("data_centre", item.data_centre, true);
  archive.TextArray("models", item.models);
  archive.Integer("max_streams", item.max_streams, 1, 100'000);
  archive.Time("token_time_base", item.token_time_base, microseconds(1),
               seconds(10));
  archive.Time("token_time_per_stream", item.token_time_per_stream, Duration{},
               seconds(1));
  archive.Number("prefill_rate", item.prefill_rate, 1, 1e9);
  archive.Choice("order_check", item.fencing_support,
                 ChoiceNames<FencingSupport>{
                     {"unknown", FencingSupport::kUnknown},
                     {"refuses_old", FencingSupport::kRejectsStale},
                     {"ignores", FencingSupport::kIgnores}});
  archive.Boolean("leaving", item.is_draining);
}

template <typename Archive>
void ProcessFields(Archive& archive, Limits& item) {
  archive.Integer("max_waiting", item.max_waiting, 1, kMaxCount);
  archive.Number("attainment_weight", item.attainment_weight, 0, 1);
  archive.Number("retry_ratio", item.retry_ratio, 0, 1);
  archive.Integer("max_body", item.max_body, 1024, 1 << 28);
}

bool IsKeyHash(const std::string& text) {
  return text.size() == kKeyHashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
         text.find_first_not_of("0123456789", colon + 1) == std::string::npos;
}

// Reads the key of a customer, which the document gives either in plain text or
// as a hash; only the hash is kept.
void ReadKey(TableReader& reader, Customer& customer) {
  std::string key;
  reader.Text("key", key);
  if (!key.empty() && !customer.key_hash.empty()) {
    reader.AddError("key", "can't be set together with key_hash");
  }
  if (!key.empty()) {
    customer.key_hash = Sha256Hex(key);
  } else if (!IsKeyHash(customer.key_hash)) {
    reader.AddError("key_hash",
                    "must be a SHA-256 of 64 lower-case hexadecimal digits, "
                    "unless key is set");
  }
}

void CheckAddress(TableReader& reader, const Backend& backend) {
  if (!IsAddress(backend.address)) {
    reader.AddError("address",
                    "must be an IP number and a port, like "
                    "127.0.0.1:9001");
  }
}

// Reads all resources of one document.
class DocumentReader {
 public:
  DocumentReader(const toml::table& document, const std::string& file)
      : document(document), file(file) {}

  tl::expected<ResourceSet, SettingsErrors> Read() {
    ResourceSet resources;
    this->ReadArray("class", resources.classes, [](auto&, auto&) {});
    this->ReadArray("customer", resources.customers, ReadKey);
    this->ReadArray("service", resources.services, [](auto&, auto&) {});
    this->ReadArray("backend", resources.backends, CheckAddress);
    this->ReadLimits(resources.limits);
    this->ReadRevision(resources.revision);
    if (this->errors.empty()) {
      this->AddValidationErrors(resources);
    }
    if (!this->errors.empty()) {
      return tl::unexpected(std::move(this->errors));
    }
    return resources;
  }

 private:
  // `read_extra` reads and checks what ProcessFields does not.
  template <typename T, typename Extra>
  void ReadArray(const std::string& kind, std::vector<T>& items,
                 Extra read_extra) {
    const toml::node* node = this->document.get(kind);
    if (node == nullptr) {
      return;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr || !array->is_array_of_tables()) {
      this->AddError(*node, kind,
                     "must be an array of tables, [[" + kind + "]]");
      return;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
      const toml::table& table = *array->get_as<toml::table>(i);
      TableReader reader(table, kind + "[" + std::to_string(i) + "]",
                         this->file, this->errors);
      T item;
      ProcessFields(reader, item);
      read_extra(reader, item);
      reader.ReportUnknownKeys();
      this->tables[{kind, item.name}] = &table;
      items.push_back(std::move(item));
    }
  }

  void ReadLimits(Limits& limits) {
    const toml::node* node = this->document.get("limits");
    if (node == nullptr) {
      return;
    }
    if (!node->is_table()) {
      this->AddError(*node, "limits", "must be a table, [limits]");
      return;
    }
    TableReader reader(*node->as_table(), "limits", this->file, this->errors);
    ProcessFields(reader, limits);
    reader.ReportUnknownKeys();
  }

  void ReadRevision(std::uint64_t& revision) {
    const toml::node* node = this->document.get("revision");
    if (node == nullptr) {
      return;
    }
    const auto* number = node->as_integer();
    if (number == nullptr || number->get() < 0) {
      this->AddError(*node, "revision", "must be a whole number from 0");
      return;
    }
    revision = static_cast<std::uint64_t>(number->get());
  }

  void AddError(const toml::node& node, const std::string& key,
                const std::string& message) {
    this->errors.push_back({.file = this->file,
                            .line = static_cast<int>(node.source().begin.line),
                            .key = key,
                            .message = message});
  }

  void AddValidationErrors(const ResourceSet& resources) {
    for (const ResourceError& error : Validate(resources)) {
      const auto table = this->tables.find({error.kind, error.name});
      int line = 0;
      if (table != this->tables.end()) {
        const toml::node* node = table->second->get(error.field);
        line = static_cast<int>(
            (node == nullptr ? table->second->source() : node->source())
                .begin.line);
      }
      this->errors.push_back(
          {.file = this->file,
           .line = line,
           .key = error.kind + "." + error.name + "." + error.field,
           .message = error.message});
    }
  }

  const toml::table& document;
  std::string file;
  SettingsErrors errors;
  // Tables by kind and name of their resource, for the lines of errors.
  std::map<std::pair<std::string, std::string>, const toml::table*> tables;
};

template <typename T>
toml::array WriteArray(const std::vector<T>& items) {
  toml::array array;
  for (T item : items) {
    TableWriter writer;
    ProcessFields(writer, item);
    array.push_back(writer.Release());
  }
  return array;
}

}  // namespace

tl::expected<toml::table, SettingsErrors> ParseToml(std::string_view text,
                                                    const std::string& file) {
  return ParseTomlText(text, file).map_error([&](const TomlError& error) {
    return SettingsErrors{{.file = file,
                           .line = error.line,
                           .key = "syntax",
                           .message = error.message}};
  });
}

tl::expected<ResourceSet, SettingsErrors> ReadResources(
    const toml::table& document, const std::string& file) {
  return DocumentReader(document, file).Read();
}

tl::expected<ResourceSet, SettingsErrors> ParseResources(
    std::string_view text, const std::string& file) {
  const tl::expected<toml::table, SettingsErrors> parsed =
      ParseToml(text, file);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const toml::table& document = *parsed;
  SettingsErrors errors;
  for (const auto& [key, node] : document) {
    bool known = false;
    for (const std::string_view name : kResourceKeys) {
      known = known || name == key.str();
    }
    if (!known) {
      errors.push_back({.file = file,
                        .line = static_cast<int>(node.source().begin.line),
                        .key = std::string(key.str()),
                        .message = "is not a known key; allowed: class, "
                                   "customer, service, backend, limits"});
    }
  }
  tl::expected<ResourceSet, SettingsErrors> resources =
      ReadResources(document, file);
  if (!resources) {
    errors.insert(errors.end(), resources.error().begin(),
                  resources.error().end());
  }
  if (!errors.empty()) {
    return tl::unexpected(std::move(errors));
  }
  return resources;
}

toml::table WriteResources(const ResourceSet& resources) {
  toml::table document;
  document.insert_or_assign("revision",
                            static_cast<std::int64_t>(resources.revision));
  document.insert_or_assign("class", WriteArray(resources.classes));
  document.insert_or_assign("customer", WriteArray(resources.customers));
  document.insert_or_assign("service", WriteArray(resources.services));
  document.insert_or_assign("backend", WriteArray(resources.backends));
  TableWriter writer;
  Limits limits = resources.limits;
  ProcessFields(writer, limits);
  document.insert_or_assign("limits", writer.Release());
  return document;
}

std::string ToTomlText(const toml::table& document) {
  std::ostringstream text;
  text << toml::toml_formatter(document);
  return text.str();
}

std::string ToJsonText(const toml::table& document) {
  std::ostringstream text;
  text << toml::json_formatter(document);
  return text.str();
}

}  // namespace rosemarycove
