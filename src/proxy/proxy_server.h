// Accepts callers.
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

// How a server is set up.
struct ProxyServerOptions {
  // IP number and port.
  std::string address;
  // Connections taken at the same time, within the process's descriptors.
  std::size_t max_connections = 1000;
};

// Listens for callers and drives their connections by time.
class ProxyServer {
 public:
  ProxyServer(ProxyServerOptions options, ProxyContext& context);

  // Binds and begins; returns the fault, or nothing.
  std::optional<std::string> Start();
  // Stops taking connections.
  void StopAccepting();
  // Closes connections on which no request is being answered.
  void CloseIdle();
  void Tick(TimePoint now);

  [[nodiscard]] std::size_t connections() const { return this->callers.size(); }
  // Requests that are being answered.
  [[nodiscard]] std::size_t active_requests() const;
  // The port bound.
  [[nodiscard]] int port() const;

 private:
  void Accept();

  ProxyServerOptions options;
  ProxyContext& context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::list<std::shared_ptr<CallerConnection>> callers;
  bool accepting = false;
  bool accept_pending = false;
};

}  // namespace rosemarycove
