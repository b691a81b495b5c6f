// The operators' resources in the platform's store, and their changes.
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

// A configuration as the store holds it: the resources, and the names of the
// last changes, by which a writer tells whether its own took effect.
struct StoredConfiguration {
  ResourceSet resources;
  std::vector<std::string> change_ids;
};

// Writes and reads the stored form.
std::string ToStoredText(const StoredConfiguration& stored);
tl::expected<StoredConfiguration, SettingsErrors> ParseStoredText(
    const std::string& text);

// Why a change did not take place.
enum class ChangeErrorKind : std::uint8_t {
  kInvalid,      // The resources are at fault; nothing was written.
  kConflict,     // Another change came first; nothing was written.
  kUnavailable,  // The store can't be asked; nothing was written.
  kUnknown,      // Whether it was written can't be told at present.
};

// A change that was not accepted.
struct ChangeError {
  ChangeErrorKind kind = ChangeErrorKind::kUnavailable;
  // The revision in the store, after a conflict.
  std::uint64_t revision = 0;
  SettingsErrors faults;
  std::string message;
};

// Edits a copy of the resources; false and a message refuse the change.
using ResourceEdit =
    std::function<tl::expected<void, SettingsErrors>(ResourceSet&)>;

// Receives each higher revision, once.
using ResourcesListener =
    std::function<void(std::shared_ptr<const ResourceSet>)>;

// Follows the configuration in the store and makes changes to it.
class ConfigurationManager {
 public:
  ConfigurationManager(KeyValueStore& store, EventLog& log,
                       ResourcesListener listener);
  ~ConfigurationManager();
  ConfigurationManager(const ConfigurationManager&) = delete;
  ConfigurationManager& operator=(const ConfigurationManager&) = delete;

  // Starts following the store.
  void Start();
  // Stops following; the last watch may take its time to return.
  void Stop();

  // Makes one change. With `expected` above 0 it must be the revision in the
  // store. Returns the accepted revision.
  tl::expected<std::uint64_t, ChangeError> Change(const std::string& change_id,
                                                  std::uint64_t expected,
                                                  const ResourceEdit& edit);

  // The revision that a change made, or 0 when it is not among the last ones
  // accepted.
  tl::expected<std::uint64_t, ChangeError> RevisionOf(
      const std::string& change_id);

  // The highest revision seen, and how long ago the store last answered.
  [[nodiscard]] std::uint64_t revision() const { return this->seen; }
  [[nodiscard]] Duration StoreAge() const;

 private:
  void Follow();
  void Adopt(const StoreValue& value);
  void NoteStore(bool available);
  tl::expected<std::uint64_t, ChangeError> Settle(const std::string& change_id);

  KeyValueStore& store;
  EventLog& log;
  ResourcesListener listener;
  std::atomic<std::uint64_t> seen = 0;
  std::atomic<std::int64_t> last_answer = 0;
  std::atomic<bool> available = true;
  std::atomic<bool> stopping = false;
  StoreVersion version = 0;
  std::mutex adopt_mutex;
  std::thread follower;
};

}  // namespace rosemarycove
