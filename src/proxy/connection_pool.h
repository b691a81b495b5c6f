// Reuses connections to backend servers.
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
  // The connection served a request before.
  bool reused = false;
  // If it did: the time since then.
  Duration idle{};
};

// Keeps a limited number of idle connections per backend server. Used on the
// event loop's thread only.
class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, const PathMonitor& paths)
      : io(io), paths(paths) {}

  // Returns a connection for a request with this id: the most recently used
  // idle one that served no request with the same id, or a new one that is not
  // connected yet. A request without an id gets a new one, on which a response
  // without an id can only be its own. What is written into a connection whose
  // other side no longer answers may arrive long after the request was given
  // up, so an idle one with unanswered probes is closed. Returns nullopt if the
  // server's address is invalid.
  std::optional<PooledConnection> Acquire(const RegisteredServer& server,
                                          const std::string& request_id,
                                          TimePoint now);
  // Like Acquire, but closes the idle connections to the server and returns a
  // new one, for a server that may be out of reach.
  std::optional<PooledConnection> AcquireNew(const RegisteredServer& server,
                                             const std::string& request_id);
  // Returns a connection to the pool after a complete response. Closes it if
  // the pool already holds the maximum of idle connections to the server.
  void Release(const RegisteredServer& server,
               std::shared_ptr<BackendConnection> connection);
  // Closes the idle connections whose idle timeout has passed; called
  // periodically.
  void CloseExpired(TimePoint now);
  // Closes all idle connections to a server that restarted or is gone.
  void CloseIdleTo(const std::string& server_id);
  // The number of idle connections to all servers.
  [[nodiscard]] std::size_t idle_count() const;

 private:
  // Makes a new connection.
  std::optional<PooledConnection> Open(const RegisteredServer& server,
                                       const std::string& request_id);

  boost::asio::io_context& io;
  const PathMonitor& paths;
  // By server id; the most recently used connection is the last.
  std::map<std::string, std::vector<std::shared_ptr<BackendConnection>>>
      idle_by_server;
};

}  // namespace rosemarycove
