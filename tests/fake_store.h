// An in-memory key-value store with injectable faults.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "store/key_value_store.h"

namespace rosemarycove {

// A test sets the faults, which then affect the next calls.
class FakeStore : public KeyValueStore {
 public:
  tl::expected<StoreValue, StoreError> Get(const std::string& key) override {
    if (this->outage) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnavailable});
    }
    return this->values[key];
  }

  tl::expected<StoreVersion, StoreError> CompareAndSwap(
      const std::string& key, StoreVersion expected,
      const std::string& value) override {
    if (this->before_write) {
      std::exchange(this->before_write, nullptr)();
    }
    if (this->outage) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnavailable});
    }
    if (std::exchange(this->lose_write, false)) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnknown});
    }
    StoreValue& stored = this->values[key];
    if (stored.version != expected) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kConflict,
                                       .version = stored.version});
    }
    stored = {.value = value, .version = expected + 1};
    if (std::exchange(this->lose_response, false)) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnknown});
    }
    return stored.version;
  }

  tl::expected<StoreValue, StoreError> Watch(const std::string& key,
                                             StoreVersion /*known_version*/,
                                             Duration /*max_wait*/) override {
    ++this->watch_count;
    return this->Get(key);
  }

  // The number of watches that were started.
  std::atomic<int> watch_count = 0;
  std::map<std::string, StoreValue> values;
  // All calls fail without effect.
  bool outage = false;
  // The next write takes effect, but its response is lost.
  bool lose_response = false;
  // The next write has no effect and gets no response.
  bool lose_write = false;
  // Called once, before the next write.
  std::function<void()> before_write;
};

}  // namespace rosemarycove
