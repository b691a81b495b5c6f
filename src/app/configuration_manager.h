// Watches and changes the operators' resources in the platform's store.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tl/expected.hpp>
#include <vector>

#include "app/event_log.h"
#include "app/resource_document.h"
#include "core/resources.h"
#include "store/key_value_store.h"

namespace rosemarycove {

// The configuration document of the store: the resources, and the ids of the
// last changes, oldest first. A writer whose response was lost finds out by the
// ids whether its change took effect.
struct StoredConfiguration {
  ResourceSet resources;
  std::vector<std::string> change_ids;
};

// Write and read the stored form of a configuration.
std::string ToStoredText(const StoredConfiguration& stored);
tl::expected<StoredConfiguration, SettingsErrors> ParseStoredText(
    const std::string& text);

// Why a change was not accepted.
enum class ChangeErrorKind : std::uint8_t {
  kInvalid,      // The resources are invalid; nothing was written.
  kConflict,     // The store holds another revision; nothing was written.
  kUnavailable,  // The store is unavailable; nothing was written.
  kUnknown,      // The write may or may not have taken effect.
};

// A change that was not accepted.
struct ChangeError {
  ChangeErrorKind kind = ChangeErrorKind::kUnavailable;
  // After a conflict: the store's revision, which may have grown since.
  std::uint64_t revision = 0;
  // The errors in the resources, for kInvalid.
  SettingsErrors faults;
  std::string message;
};

// Edits a copy of the resources. An error rejects the change.
using ResourceEdit =
    std::function<tl::expected<void, SettingsErrors>(ResourceSet&)>;

// Receives each revision that is higher than all before it, once.
using ResourcesListener =
    std::function<void(std::shared_ptr<const ResourceSet>)>;

// Keeps an instance on the highest revision of the configuration in the store
// and writes the operators' changes to the store. A background thread watches
// the store; Change and RevisionOf may be called from any thread.
class ConfigurationManager {
 public:
  ConfigurationManager(KeyValueStore& store, EventLog& log,
                       ResourcesListener listener);
  ~ConfigurationManager();
  ConfigurationManager(const ConfigurationManager&) = delete;
  ConfigurationManager& operator=(const ConfigurationManager&) = delete;

  // Starts watching the store.
  void Start();
  // Cancels the pending watch and waits until the thread has ended.
  void Stop();

  // Makes one change and returns the revision that it created. If `expected`
  // is above 0, the change fails unless the store holds that revision. A
  // change whose id the store already holds is not made again.
  tl::expected<std::uint64_t, ChangeError> Change(const std::string& change_id,
                                                  std::uint64_t expected,
                                                  const ResourceEdit& edit);

  // The revision that a change created, or 0 when it is not among the changes
  // that the store still lists.
  tl::expected<std::uint64_t, ChangeError> RevisionOf(
      const std::string& change_id);

  // The highest revision received so far.
  [[nodiscard]] std::uint64_t revision() const {
    return this->highest_revision;
  }
  // Time since the store last responded.
  [[nodiscard]] Duration TimeSinceResponse() const;

 private:
  void WatchStore();
  // Passes the configuration to the listener if its revision is the highest
  // so far.
  void ApplyIfNewer(const StoreValue& value);
  // Records whether the store responded; logs when that has changed.
  void SetAvailable(bool is_available);
  // Reads the store to find out whether a write whose response was lost took
  // effect.
  tl::expected<std::uint64_t, ChangeError> ResolveLostResponse(
      const std::string& change_id);

  KeyValueStore& store;
  EventLog& log;
  ResourcesListener listener;
  std::atomic<std::uint64_t> highest_revision = 0;
  // Steady clock time in nanoseconds.
  std::atomic<std::int64_t> last_response = 0;
  std::atomic<bool> available = true;
  std::atomic<bool> stopping = false;
  // The key's version that the watching thread has read.
  StoreVersion version = 0;
  // Keeps the listener's revisions in ascending order.
  std::mutex apply_mutex;
  std::thread watcher;
};

}  // namespace rosemarycove
