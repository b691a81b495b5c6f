// Connections to backend servers, kept for reuse.
#pragma once

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// How clients are set up.
struct ClientPoolOptions {
  Duration connect_timeout = std::chrono::seconds(1);
  // Longest silence of a server in the middle of an answer.
  Duration stall_timeout = std::chrono::seconds(15);
  // Idle connections kept for each address.
  std::size_t max_idle = 64;
};

// Hands out HTTP clients by address.
class ClientPool {
 public:
  explicit ClientPool(ClientPoolOptions options);

  // A client with a connection of its own that was never used.
  std::unique_ptr<httplib::Client> MakeClient(const std::string& address) const;
  // A client that may hold an open connection.
  std::unique_ptr<httplib::Client> Acquire(const std::string& address);
  // Gives a client back after an pending that ended well.
  void Release(const std::string& address,
               std::unique_ptr<httplib::Client> client);

 private:
  ClientPoolOptions options;
  std::mutex mutex;
  std::map<std::string, std::vector<std::unique_ptr<httplib::Client>>> idle;
};

}  // namespace rosemarycove
