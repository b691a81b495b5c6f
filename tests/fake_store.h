// A key-value store in memory whose answers can be lost.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "store/key_value_store.h"

namespace rosemarycove {

// Faults are armed by a test and strike the next calls.
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
    StoreValue& held = this->values[key];
    if (held.version != expected) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kConflict,
                                       .version = held.version});
    }
    held = {.value = value, .version = expected + 1};
    if (std::exchange(this->lose_answer, false)) {
      return tl::unexpected(StoreError{.kind = StoreErrorKind::kUnknown});
    }
    return held.version;
  }

  tl::expected<StoreValue, StoreError> Watch(const std::string& key,
                                             StoreVersion /*known*/,
                                             Duration /*longest*/) override {
    ++this->watch_count;
    return this->Get(key);
  }

  // Watches asked for so far.
  std::atomic<int> watch_count = 0;
  std::map<std::string, StoreValue> values;
  bool outage = false;
  // The next write takes effect and its answer is lost.
  bool lose_answer = false;
  // The next write is lost, and its answer too.
  bool lose_write = false;
  // Called once before the next write.
  std::function<void()> before_write;
};

}  // namespace rosemarycove
