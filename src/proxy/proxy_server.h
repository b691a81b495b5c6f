// The HTTP server that accepts callers' connections.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "proxy/caller_connection.h"
#include "proxy/proxy_context.h"

namespace rosemarycove {

// Options of a proxy server.
struct ProxyServerOptions {
  // IPv4 address and port.
  std::string address;
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
  // Checks timeouts and removes closed connections; called periodically.
  void Tick(TimePoint now);

  // The number of open connections.
  [[nodiscard]] std::size_t connection_count() const;
  // The number of requests that are being handled.
  [[nodiscard]] std::size_t active_request_count() const;
  // The port bound, which the system chose if port 0 was requested.
  [[nodiscard]] int port() const;

 private:
  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);

  ProxyServerOptions options;
  ProxyContext& context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<std::shared_ptr<CallerConnection>> callers;
  bool accepting = false;
  bool accept_pending = false;
};

}  // namespace rosemarycove
