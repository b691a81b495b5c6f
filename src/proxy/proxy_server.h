// The HTTP server that accepts the connections of callers, and of instances
// that relay their callers' requests.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "proxy/caller_connection.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Options of a proxy server.
struct ProxyServerOptions {
  // IPv4 address and port for callers.
  std::string address;
  // The same for other instances; empty if they may not relay requests here.
  std::string relay_address;
  // Maximum number of open connections; must fit the process's limit on file
  // descriptors.
  std::size_t max_connections = 1000;
};

// Accepts callers' connections, owns them and drives their timeouts. Used on
// the event loop's thread only.
class ProxyServer {
 public:
  ProxyServer(ProxyServerOptions options, ProxyContext& context);
  // Drops all requests. The event loop still holds connections whose operations
  // are pending, and may outlive the context that the requests refer to.
  ~ProxyServer();
  ProxyServer(const ProxyServer&) = delete;
  ProxyServer& operator=(const ProxyServer&) = delete;

  // Binds and starts to accept. Returns an error message, or nullopt on
  // success.
  std::optional<std::string> Start();
  // Stops accepting connections, after those that the system has established
  // already; the open ones remain.
  void StopAccepting();
  // Starts to close connections on which no request is being read or handled;
  // those that never had a request only if `unused_too`.
  void CloseIdle(bool unused_too);
  // Ends all requests with a true outcome and starts to close their
  // connections. Idle connections stay open until the process exits.
  void Shutdown();
  // Closes all connections and drops their requests at once.
  void Terminate();
  // Checks timeouts and removes closed connections; called periodically.
  void Tick(TimePoint now);

  // Returns whether new connections are accepted, or could be: false once they
  // have waited for some time without room.
  [[nodiscard]] bool HasRoom(TimePoint now) const;
  // The number of open connections.
  [[nodiscard]] std::size_t connection_count() const;
  // The number of requests that are being handled.
  [[nodiscard]] std::size_t active_request_count() const;
  // The ports bound, which the system chose if port 0 was requested; 0 if there
  // is no listener for instances.
  [[nodiscard]] int port() const;
  [[nodiscard]] int relay_port() const;

 private:
  struct Entrance {
    boost::asio::ip::tcp::acceptor acceptor;
    CallerKind kind = CallerKind::kCaller;
    bool accept_pending = false;
  };

  void Accept(Entrance& entrance);
  // Waits for a connection while there is no room, and makes some for it.
  void AwaitConnection(Entrance& entrance);
  [[nodiscard]] bool IsFull() const;
  // Closes idle connections. Returns whether there is room then.
  bool MakeRoom(TimePoint now);
  void RemoveClosed();
  // Reports the connections that were closed to make room.
  void ReportClosed(TimePoint now);
  // Stops accepting connections at the entrance.
  void Close(Entrance& entrance);
  void Add(boost::asio::ip::tcp::socket socket, CallerKind kind);

  ProxyServerOptions options;
  ProxyContext& context;
  Entrance caller_entrance;
  Entrance relay_entrance;
  std::list<std::shared_ptr<CallerConnection>> callers;
  bool accepting = false;
  // Since when connections have waited without room, and when one was last seen
  // to wait; nullopt if there is room.
  std::optional<TimePoint> blocked_since;
  TimePoint blocked_at;
  // Connections closed to make room since the last report.
  std::size_t closed_for_room = 0;
  TimePoint reported_at;
};

}  // namespace rosemarycove
