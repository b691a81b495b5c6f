// The operations that an instance needs of the platform's key-value service.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "core/types.h"

namespace rosemarycove {

// The version of a key. It increases with each write; 0 means that the key does
// not exist.
using StoreVersion = std::uint64_t;

// A value and the version of its last write.
struct StoreValue {
  std::string value;
  StoreVersion version = 0;
};

// Why a call to the store failed.
enum class StoreErrorKind : std::uint8_t {
  kUnavailable,  // The call had no effect.
  kUnknown,      // The response was lost; a write may have taken effect.
  kConflict,     // The key has another version than the expected one.
};

struct StoreError {
  StoreErrorKind kind = StoreErrorKind::kUnavailable;
  // The actual version of the key, for kConflict.
  StoreVersion version = 0;
  std::string message;
};

// Reads, compare-and-swap and watches. Calls block until the response or a
// timeout.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  // Reads a key. If it does not exist, returns an empty value and version 0.
  virtual tl::expected<StoreValue, StoreError> Get(const std::string& key) = 0;
  // Writes the value if the key's version is `expected`; returns the new
  // version.
  virtual tl::expected<StoreVersion, StoreError> CompareAndSwap(
      const std::string& key, StoreVersion expected,
      const std::string& value) = 0;
  // Waits until the key's version exceeds `known_version`, for up to
  // `max_wait`, and then reads the key.
  virtual tl::expected<StoreValue, StoreError> Watch(const std::string& key,
                                                     StoreVersion known_version,
                                                     Duration max_wait) = 0;
  // Ends the watch that another thread waits for and makes later watches fail.
  virtual void CancelWatches() {}
};

}  // namespace rosemarycove
