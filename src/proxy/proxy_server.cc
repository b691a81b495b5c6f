#include "proxy/proxy_server.h"

#include <algorithm>
#include <utility>

#include "proxy/listener.h"

namespace rosemarycove {

using boost::system::error_code;

ProxyServer::ProxyServer(ProxyServerOptions options, ProxyContext& context)
    : options(std::move(options)),
      context(context),
      caller_entrance{.acceptor = boost::asio::ip::tcp::acceptor(context.io)},
      relay_entrance{.acceptor = boost::asio::ip::tcp::acceptor(context.io),
                     .kind = CallerKind::kInstance} {}

ProxyServer::~ProxyServer() { this->Terminate(); }

void ProxyServer::Terminate() {
  for (const auto& caller : this->callers) {
    caller->Terminate();
  }
  this->callers.clear();
}

std::optional<std::string> ProxyServer::Start() {
  if (auto error =
          Listen(this->caller_entrance.acceptor, this->options.address)) {
    return error;
  }
  if (!this->options.relay_address.empty()) {
    if (auto error = Listen(this->relay_entrance.acceptor,
                            this->options.relay_address)) {
      return error;
    }
  }
  this->accepting = true;
  this->Accept(this->caller_entrance);
  this->Accept(this->relay_entrance);
  return std::nullopt;
}

void ProxyServer::Accept(Entrance& entrance) {
  if (!this->accepting || !entrance.acceptor.is_open() ||
      entrance.accept_pending ||
      this->callers.size() >= this->options.max_connections) {
    return;
  }
  entrance.accept_pending = true;
  entrance.acceptor.async_accept(
      [this, &entrance](error_code failure,
                        boost::asio::ip::tcp::socket socket) {
        entrance.accept_pending = false;
        if (failure) {
          // Out of file descriptors, or the caller disconnected; the next tick
          // accepts again.
          return;
        }
        this->Add(std::move(socket), entrance.kind);
        this->Accept(entrance);
      });
}

void ProxyServer::Add(boost::asio::ip::tcp::socket socket, CallerKind kind) {
  auto caller = std::make_shared<CallerConnection>(std::move(socket), kind,
                                                   this->context);
  this->callers.push_back(caller);
  caller->Start();
}

void ProxyServer::StopAccepting() {
  if (!this->accepting) {
    return;
  }
  this->accepting = false;
  this->Close(this->caller_entrance);
  this->Close(this->relay_entrance);
}

void ProxyServer::Close(Entrance& entrance) {
  if (!entrance.acceptor.is_open()) {
    return;
  }
  // Closing the listener resets connections that wait to be accepted.
  error_code failure;
  entrance.acceptor.non_blocking(true, failure);
  while (!failure && this->callers.size() < this->options.max_connections) {
    boost::asio::ip::tcp::socket socket(this->context.io);
    entrance.acceptor.accept(socket, failure);
    if (!failure) {
      this->Add(std::move(socket), entrance.kind);
    }
  }
  error_code ignored;
  entrance.acceptor.close(ignored);
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
  this->context.body_budget.Tick(
      now, this->callers.size() >= this->options.max_connections);
  this->Accept(this->caller_entrance);
  this->Accept(this->relay_entrance);
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

int ProxyServer::port() const { return PortOf(this->caller_entrance.acceptor); }

int ProxyServer::relay_port() const {
  return this->relay_entrance.acceptor.is_open()
             ? PortOf(this->relay_entrance.acceptor)
             : 0;
}

}  // namespace rosemarycove
