#include "proxy/proxy_server.h"

#include <algorithm>
#include <utility>

#include "proxy/listener.h"

namespace rosemarycove {

using boost::system::error_code;

ProxyServer::ProxyServer(ProxyServerOptions options, ProxyContext& context)
    : options(std::move(options)), context(context), acceptor(context.io) {}

ProxyServer::~ProxyServer() {
  for (const auto& caller : this->callers) {
    caller->Terminate();
  }
}

std::optional<std::string> ProxyServer::Start() {
  if (auto error = Listen(this->acceptor, this->options.address)) {
    return error;
  }
  this->accepting = true;
  this->Accept();
  return std::nullopt;
}

void ProxyServer::Accept() {
  if (!this->accepting || this->accept_pending ||
      this->callers.size() >= this->options.max_connections) {
    return;
  }
  this->accept_pending = true;
  this->acceptor.async_accept(
      [this](error_code failure, boost::asio::ip::tcp::socket socket) {
        this->accept_pending = false;
        if (failure) {
          // Out of file descriptors, or the caller disconnected; the next tick
          // accepts again.
          return;
        }
        this->Add(std::move(socket));
        this->Accept();
      });
}

void ProxyServer::Add(boost::asio::ip::tcp::socket socket) {
  auto caller =
      std::make_shared<CallerConnection>(std::move(socket), this->context);
  this->callers.push_back(caller);
  caller->Start();
}

void ProxyServer::StopAccepting() {
  if (!this->accepting) {
    return;
  }
  this->accepting = false;
  // Closing the listener resets connections that wait to be accepted.
  error_code failure;
  this->acceptor.non_blocking(true, failure);
  while (!failure && this->callers.size() < this->options.max_connections) {
    boost::asio::ip::tcp::socket socket(this->context.io);
    this->acceptor.accept(socket, failure);
    if (!failure) {
      this->Add(std::move(socket));
    }
  }
  error_code ignored;
  this->acceptor.close(ignored);
}

void ProxyServer::CloseIdle(bool unused_too) {
  for (const auto& caller : this->callers) {
    caller->CloseIfIdle(unused_too);
  }
}

void ProxyServer::Shutdown() {
  for (const auto& caller : this->callers) {
    caller->Shutdown();
  }
}

void ProxyServer::Tick(TimePoint now) {
  this->callers.remove_if([](const auto& caller) {
    return caller->is_closed() && !caller->is_busy();
  });
  // A connection's tick may close it but never adds one, so the list does not
  // change here.
  for (const auto& caller : this->callers) {
    caller->Tick(now);
  }
  this->Accept();
}

std::size_t ProxyServer::connection_count() const {
  return static_cast<std::size_t>(
      std::count_if(this->callers.begin(), this->callers.end(),
                    [](const auto& caller) { return !caller->is_closed(); }));
}

std::size_t ProxyServer::active_request_count() const {
  return static_cast<std::size_t>(
      std::count_if(this->callers.begin(), this->callers.end(),
                    [](const auto& caller) { return caller->is_busy(); }));
}

int ProxyServer::port() const { return PortOf(this->acceptor); }

}  // namespace rosemarycove
