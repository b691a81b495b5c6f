#include "app/configuration_manager.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace rosemarycove {
namespace {

constexpr char kRootKey[] = "configuration/root";
constexpr auto kWatchTime = std::chrono::seconds(5);
constexpr auto kRetryPause = std::chrono::milliseconds(500);
// Names of changes kept in the store, for settling writes without an answer.
constexpr std::size_t kKeptChanges = 64;
constexpr int kSettleReads = 3;

std::int64_t SteadyNanoseconds() {
  return std::chrono::steady_clock::now().time_since_epoch().count();
}

ChangeError ToChangeError(const StoreError& error) {
  const bool unknown = error.kind == StoreErrorKind::kUnknown;
  return {.kind = unknown ? ChangeErrorKind::kUnknown
                          : ChangeErrorKind::kUnavailable,
          .revision = 0,
          .faults = {},
          .message = "store: " + error.message};
}

}  // namespace

std::string ToStoredText(const StoredConfiguration& stored) {
  toml::table document = WriteResources(stored.resources);
  toml::array changes;
  for (const std::string& change : stored.change_ids) {
    changes.push_back(change);
  }
  document.insert_or_assign("changes", std::move(changes));
  return ToTomlText(document);
}

tl::expected<StoredConfiguration, SettingsErrors> ParseStoredText(
    const std::string& text) {
  static const std::string kSource = "store";
  if (text.empty()) {
    return StoredConfiguration{};
  }
  const tl::expected<toml::table, SettingsErrors> parsed =
      ParseToml(text, kSource);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const toml::table& document = *parsed;
  return ReadResources(document, kSource).map([&](ResourceSet&& resources) {
    StoredConfiguration stored{.resources = std::move(resources),
                               .change_ids = {}};
    if (const toml::array* changes = document["changes"].as_array()) {
      for (const toml::node& change : *changes) {
        stored.change_ids.push_back(change.value_or(std::string()));
      }
    }
    return stored;
  });
}

ConfigurationManager::ConfigurationManager(KeyValueStore& store, EventLog& log,
                                           ResourcesListener listener)
    : store(store), log(log), listener(std::move(listener)) {}

ConfigurationManager::~ConfigurationManager() { this->Stop(); }

void ConfigurationManager::Start() {
  this->follower = std::thread([this] { this->Follow(); });
}

void ConfigurationManager::Stop() {
  this->stopping = true;
  this->store.CancelWatches();
  if (this->follower.joinable()) {
    this->follower.join();
  }
}

Duration ConfigurationManager::StoreAge() const {
  return Duration(SteadyNanoseconds() - this->last_answer);
}

void ConfigurationManager::NoteStore(bool is_available) {
  if (is_available) {
    this->last_answer = SteadyNanoseconds();
  }
  if (this->available.exchange(is_available) != is_available) {
    this->log.Write(
        is_available ? LogEvent::kStoreAvailable : LogEvent::kStoreUnavailable,
        {{"revision", this->seen.load()}});
  }
}

void ConfigurationManager::Follow() {
  while (!this->stopping) {
    const auto value = this->store.Watch(kRootKey, this->version, kWatchTime);
    if (this->stopping) {
      return;
    }
    this->NoteStore(value.has_value());
    if (!value) {
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    if (value->version > this->version) {
      this->version = value->version;
      this->Adopt(*value);
    }
  }
}

void ConfigurationManager::Adopt(const StoreValue& value) {
  tl::expected<StoredConfiguration, SettingsErrors> stored =
      ParseStoredText(value.value);
  if (!stored) {
    this->log.Write(LogEvent::kConfigurationRefused,
                    {{"version", value.version},
                     {"fault", stored.error().front().ToString()}});
    return;
  }
  const std::lock_guard lock(this->adopt_mutex);
  const std::uint64_t revision = stored->resources.revision;
  if (revision <= this->seen) {
    return;
  }
  this->seen = revision;
  this->listener(
      std::make_shared<const ResourceSet>(std::move(stored->resources)));
  this->log.Write(LogEvent::kConfigurationInForce, {{"revision", revision}});
}

tl::expected<std::uint64_t, ChangeError> ConfigurationManager::Change(
    const std::string& change_id, std::uint64_t expected,
    const ResourceEdit& edit) {
  const auto current = this->store.Get(kRootKey);
  this->NoteStore(current.has_value());
  if (!current) {
    // Nothing was written yet, so the failure is without effect.
    ChangeError error = ToChangeError(current.error());
    error.kind = ChangeErrorKind::kUnavailable;
    return tl::unexpected(error);
  }
  auto stored = ParseStoredText(current->value);
  if (!stored) {
    return tl::unexpected(ChangeError{.kind = ChangeErrorKind::kInvalid,
                                      .revision = 0,
                                      .faults = stored.error(),
                                      .message = "stored configuration"});
  }
  const auto& changes = stored->change_ids;
  if (std::find(changes.begin(), changes.end(), change_id) != changes.end()) {
    return this->RevisionOf(change_id);
  }
  if (expected > 0 && expected != stored->resources.revision) {
    return tl::unexpected(
        ChangeError{.kind = ChangeErrorKind::kConflict,
                    .revision = stored->resources.revision,
                    .faults = {},
                    .message = "another revision is in the store"});
  }
  if (auto edited = edit(stored->resources); !edited) {
    return tl::unexpected(ChangeError{.kind = ChangeErrorKind::kInvalid,
                                      .revision = stored->resources.revision,
                                      .faults = edited.error(),
                                      .message = "change refused"});
  }
  stored->resources.revision += 1;
  stored->change_ids.push_back(change_id);
  if (stored->change_ids.size() > kKeptChanges) {
    stored->change_ids.erase(stored->change_ids.begin());
  }
  const std::string text = ToStoredText(*stored);
  const auto written =
      this->store.CompareAndSwap(kRootKey, current->version, text);
  if (written) {
    this->log.Write(
        LogEvent::kChangeAccepted,
        {{"change", change_id}, {"revision", stored->resources.revision}});
    this->Adopt({.value = text, .version = *written});
    return stored->resources.revision;
  }
  if (written.error().kind == StoreErrorKind::kConflict) {
    return tl::unexpected(ChangeError{.kind = ChangeErrorKind::kConflict,
                                      .revision = stored->resources.revision,
                                      .faults = {},
                                      .message = "another change came first"});
  }
  if (written.error().kind == StoreErrorKind::kUnavailable) {
    return tl::unexpected(ToChangeError(written.error()));
  }
  return this->Settle(change_id);
}

tl::expected<std::uint64_t, ChangeError> ConfigurationManager::Settle(
    const std::string& change_id) {
  for (int i = 0; i < kSettleReads; ++i) {
    const auto value = this->store.Get(kRootKey);
    if (!value) {
      continue;
    }
    const auto stored = ParseStoredText(value->value);
    if (stored &&
        std::find(stored->change_ids.begin(), stored->change_ids.end(),
                  change_id) != stored->change_ids.end()) {
      this->Adopt(*value);
      return stored->resources.revision;
    }
  }
  // Not seen so far; the write may still be on its way.
  return tl::unexpected(ChangeError{.kind = ChangeErrorKind::kUnknown,
                                    .revision = 0,
                                    .faults = {},
                                    .message = "the store's answer was lost"});
}

tl::expected<std::uint64_t, ChangeError> ConfigurationManager::RevisionOf(
    const std::string& change_id) {
  const auto value = this->store.Get(kRootKey);
  if (!value) {
    return tl::unexpected(ToChangeError(value.error()));
  }
  const auto stored = ParseStoredText(value->value);
  if (!stored) {
    return 0;
  }
  const std::vector<std::string>& changes = stored->change_ids;
  const auto found = std::find(changes.begin(), changes.end(), change_id);
  if (found == changes.end()) {
    return 0;
  }
  // Each change makes one revision, and the last one made the current.
  const auto later =
      static_cast<std::uint64_t>(std::distance(found, changes.end()) - 1);
  return stored->resources.revision - later;
}

}  // namespace rosemarycove
