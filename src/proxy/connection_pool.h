// Idle connections to backend servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "proxy/backend_connection.h"

namespace rosemarycove {

// A connection for one request.
struct PooledConnection {
  std::shared_ptr<BackendConnection> connection;
  // Whether it served a request before.
  bool reused = false;
};

// Keeps connections by server and incarnation, and bounds them.
class ConnectionPool {
 public:
  explicit ConnectionPool(boost::asio::io_context& io) : io(io) {}

  // The connection used last, or a new one that is not connected yet. Nothing
  // when the server's address can't be read.
  std::optional<PooledConnection> Acquire(const RegisteredServer& server,
                                          TimePoint now);
  // Gives back a connection after a whole answer.
  void Release(const RegisteredServer& server,
               std::shared_ptr<BackendConnection> connection);
  // Closes what was idle for too long.
  void CloseIdle(TimePoint now);
  // A server restarted or left.
  void CloseAll(const std::string& server_id);
  [[nodiscard]] std::size_t idle_count() const;

 private:
  boost::asio::io_context& io;
  std::map<std::string, std::vector<std::shared_ptr<BackendConnection>>>
      idle_by_server;
};

}  // namespace rosemarycove
