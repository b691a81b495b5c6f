// The key-value service as JSON over HTTP, as docs/PLATFORM.md describes it.
#pragma once

#include <mutex>
#include <string>

#include "http/backend_client.h"
#include "store/key_value_store.h"

namespace rosemarycove {

// Calls the service at one address, with a new connection for each call.
class HttpKeyValueStore : public KeyValueStore {
 public:
  HttpKeyValueStore(const std::string& host, int port, Duration timeout);

  tl::expected<StoreValue, StoreError> Get(const std::string& key) override;
  tl::expected<StoreVersion, StoreError> CompareAndSwap(
      const std::string& key, StoreVersion expected,
      const std::string& value) override;
  tl::expected<StoreValue, StoreError> Watch(const std::string& key,
                                             StoreVersion known_version,
                                             Duration max_wait) override;
  void CancelWatches() override;

 private:
  // Reads a value; the whole response may take `max_time`.
  static tl::expected<StoreValue, StoreError> Read(BackendClient& client,
                                                   const std::string& path,
                                                   Duration max_time);

  std::string address;
  Duration timeout;
  // Guards the members below.
  std::mutex mutex;
  bool watches_cancelled = false;
  // The client of the watch in progress. There is at most one.
  BackendClient* watch_client = nullptr;
};

}  // namespace rosemarycove
