// The key-value service over HTTP with JSON, as docs/PLATFORM.md describes it.
#pragma once

#include <httplib.h>

#include <mutex>
#include <string>

#include "store/key_value_store.h"

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
  void CancelWatches() override;

 private:
  static tl::expected<StoreValue, StoreError> Read(httplib::Client& client,
                                                   const std::string& path);

  std::string host;
  int port;
  Duration timeout;
  std::mutex mutex;
  bool watches_cancelled = false;
  // The client of the watch under way; one watch at a time.
  httplib::Client* watching = nullptr;
};

}  // namespace rosemarycove
