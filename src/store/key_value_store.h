// The platform's key-value service, as the instance needs it.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "core/types.h"

namespace rosemarycove {

// Grows with each write of a key; 0 is a key that does not exist.
using StoreVersion = std::uint64_t;

// A value and the version of its last write.
struct StoreValue {
  std::string value;
  StoreVersion version = 0;
};

// Why a call to the store gave no result.
enum class StoreErrorKind : std::uint8_t {
  kUnavailable,  // Certainly without effect.
  kUnknown,      // The answer was lost; a write may have taken effect.
  kConflict,     // The key had another version than the one named.
};

// A failed call to the store.
struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kUnavailable;
  // The key's version, after a conflict.
  StoreVersion version = 0;
  std::string message;
};

// Compare-and-swap, reads and watches. Calls block until answered or timed out.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  // Reads a key; version 0 and an empty value when it does not exist.
  virtual tl::expected<StoreValue, StoreError> Get(const std::string& key) = 0;
  // Writes when the key still has `expected`; returns the new version.
  virtual tl::expected<StoreVersion, StoreError> CompareAndSwap(
      const std::string& key, StoreVersion expected,
      const std::string& value) = 0;
  // Waits until the key's version is above `known` or the time is over, then
  // reads it.
  virtual tl::expected<StoreValue, StoreError> Watch(const std::string& key,
                                                     StoreVersion known,
                                                     Duration longest) = 0;
  // Ends the watch that another thread waits in, and those that come after.
  virtual void CancelWatches() {}
};

}  // namespace rosemarycove
