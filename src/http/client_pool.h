// Reuses HTTP connections to backend servers.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/types.h"
#include "http/backend_client.h"

namespace rosemarycove {

// Options of a client pool.
struct ClientPoolOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // Maximum time without a byte read or written while a request is in progress.
  Duration stall_timeout = std::chrono::seconds(15);
  // Maximum number of idle clients kept per address.
  std::size_t max_idle = 64;
};

// Provides HTTP clients by address and keeps idle ones. Thread-safe.
class ClientPool {
 public:
  explicit ClientPool(ClientPoolOptions options);

  // Returns a client without a connection; it connects on first use.
  std::unique_ptr<BackendClient> MakeClient(const std::string& address) const;
  // Returns an idle client, which may hold an open connection, or a new one.
  std::unique_ptr<BackendClient> Acquire(const std::string& address);
  // Returns a client to the pool after a completed request.
  void Release(const std::string& address,
               std::unique_ptr<BackendClient> client);

 private:
  ClientPoolOptions options;
  std::mutex mutex;
  std::map<std::string, std::vector<std::unique_ptr<BackendClient>>> idle;
};

}  // namespace rosemarycove
