#include "app/configuration_manager.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/clock.h"

namespace rosemarycove {
namespace {

constexpr char kRootKey[] = "configuration/root";
constexpr auto kWatchTimeout = std::chrono::seconds(5);
constexpr auto kRetryPause = std::chrono::milliseconds(500);
// Change ids kept in the store. They show whether a write whose response was
// lost took effect.
constexpr std::size_t kMaxStoredChanges = 64;
// Reads attempted before the result of such a write counts as unknown.
constexpr int kMaxResolveReads = 3;

std::int64_t SteadyNanoseconds() {
  return MonotonicNow().time_since_epoch().count();
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
  this->watcher = std::thread([this] { this->WatchStore(); });
}

void ConfigurationManager::Stop() {
  this->stopping = true;
  this->store.CancelWatches();
  if (this->watcher.joinable()) {
    this->watcher.join();
  }
}

Duration ConfigurationManager::TimeSinceResponse() const {
  return Duration(SteadyNanoseconds() - this->last_response);
}

void ConfigurationManager::SetAvailable(bool is_available) {
  if (is_available) {
    this->last_response = SteadyNanoseconds();
  }
  if (this->available.exchange(is_available) != is_available) {
    this->log.Write(
        is_available ? LogEvent::kStoreAvailable : LogEvent::kStoreUnavailable,
        {{"revision", this->highest_revision.load()}});
  }
}

void ConfigurationManager::WatchStore() {
  while (!this->stopping) {
    const auto value =
        this->store.Watch(kRootKey, this->version, kWatchTimeout);
    if (this->stopping) {
      return;
    }
    this->SetAvailable(value.has_value());
    if (!value) {
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    if (value->version > this->version) {
      this->version = value->version;
      this->ApplyIfNewer(*value);
    }
  }
}

void ConfigurationManager::ApplyIfNewer(const StoreValue& value) {
  tl::expected<StoredConfiguration, SettingsErrors> stored =
      ParseStoredText(value.value);
  if (!stored) {
    this->log.Write(LogEvent::kConfigurationRefused,
                    {{"version", value.version},
                     {"fault", stored.error().front().ToString()}});
    return;
  }
  const std::lock_guard lock(this->apply_mutex);
  const std::uint64_t revision = stored->resources.revision;
  if (revision <= this->highest_revision) {
    return;
  }
  this->highest_revision = revision;
  this->listener(
      std::make_shared<const ResourceSet>(std::move(stored->resources)));
  this->log.Write(LogEvent::kConfigurationInForce, {{"revision", revision}});
}

tl::expected<std::uint64_t, ChangeError> ConfigurationManager::Change(
    const std::string& change_id, std::uint64_t expected,
    const ResourceEdit& edit) {
  const auto current = this->store.Get(kRootKey);
  this->SetAvailable(current.has_value());
  if (!current) {
    // Nothing has been written yet, so even a lost response changes nothing.
    ChangeError error = ToChangeError(current.error());
    error.kind = ChangeErrorKind::kUnavailable;
    return tl::unexpected(error);
  }
  auto stored = ParseStoredText(current->value);
  if (!stored) {
    return tl::unexpected(
        ChangeError{.kind = ChangeErrorKind::kInvalid,
                    .revision = 0,
                    .faults = stored.error(),
                    .message = "stored configuration is invalid"});
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
                    .message = "the store holds another revision"});
  }
  if (auto edited = edit(stored->resources); !edited) {
    return tl::unexpected(ChangeError{.kind = ChangeErrorKind::kInvalid,
                                      .revision = stored->resources.revision,
                                      .faults = edited.error(),
                                      .message = "the change is invalid"});
  }
  stored->resources.revision += 1;
  stored->change_ids.push_back(change_id);
  if (stored->change_ids.size() > kMaxStoredChanges) {
    stored->change_ids.erase(stored->change_ids.begin());
  }
  const std::string text = ToStoredText(*stored);
  const auto written =
      this->store.CompareAndSwap(kRootKey, current->version, text);
  if (written) {
    this->log.Write(
        LogEvent::kChangeAccepted,
        {{"change", change_id}, {"revision", stored->resources.revision}});
    this->ApplyIfNewer({.value = text, .version = *written});
    return stored->resources.revision;
  }
  if (written.error().kind == StoreErrorKind::kConflict) {
    return tl::unexpected(
        ChangeError{.kind = ChangeErrorKind::kConflict,
                    .revision = stored->resources.revision,
                    .faults = {},
                    .message = "a concurrent change was accepted first"});
  }
  if (written.error().kind == StoreErrorKind::kUnavailable) {
    return tl::unexpected(ToChangeError(written.error()));
  }
  return this->ResolveLostResponse(change_id);
}

tl::expected<std::uint64_t, ChangeError>
ConfigurationManager::ResolveLostResponse(const std::string& change_id) {
  for (int i = 0; i < kMaxResolveReads; ++i) {
    const auto value = this->store.Get(kRootKey);
    if (!value) {
      continue;
    }
    const auto stored = ParseStoredText(value->value);
    if (stored &&
        std::find(stored->change_ids.begin(), stored->change_ids.end(),
                  change_id) != stored->change_ids.end()) {
      this->ApplyIfNewer(*value);
      return stored->resources.revision;
    }
  }
  // The write may still reach the store.
  return tl::unexpected(
      ChangeError{.kind = ChangeErrorKind::kUnknown,
                  .revision = 0,
                  .faults = {},
                  .message = "the store's response was lost"});
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
  // Each change creates one revision, and the last one created the current.
  const auto changes_since =
      static_cast<std::uint64_t>(std::distance(found, changes.end()) - 1);
  return stored->resources.revision - changes_since;
}

}  // namespace rosemarycove
