// The key-value service over HTTP with JSON, as docs/PLATFORM.md describes it.
#pragma once

#include <memory>
#include <string>

#include "platform/key_value_store.h"

namespace rosemarycove {

// Speaks to the store at one address.
class HttpKeyValueStore : public KeyValueStore {
 public:
  HttpKeyValueStore(std::string host, int port, Duration timeout);

  tl::expected<StoreValue, StoreError> Get(const std::string& key) override;
  tl::expected<StoreVersion, StoreError> CompareAndSwap(
      const std::string& key, StoreVersion expected,
      const std::string& value) override;
  tl::expected<StoreValue, StoreError> Watch(const std::string& key,
                                             StoreVersion known,
                                             Duration longest) override;

 private:
  tl::expected<StoreValue, StoreError> Read(const std::string& path,
                                            Duration timeout);

  std::string host;
  int port;
  Duration timeout;
};

}  // namespace rosemarycove
