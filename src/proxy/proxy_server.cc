#include "proxy/proxy_server.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "proxy/listener.h"

namespace rosemarycove {

using boost::system::error_code;

namespace {

// Part of the connections that is closed together to make room.
constexpr std::size_t kRoomDivisor = 32;
// A caller sends its first request within this time after it connects.
constexpr Duration kFirstRequestTime = std::chrono::seconds(1);
// Once connections have waited this long without room, the instance is not
// ready.
constexpr Duration kMaxBlockedTime = std::chrono::seconds(1);
// Connections that were not seen to wait for this long wait no more.
constexpr Duration kBlockedMemory = std::chrono::milliseconds(250);
constexpr Duration kReportInterval = std::chrono::seconds(1);

// An idle connection that may be closed.
struct IdleConnection {
  CallerConnection* connection = nullptr;
  // The number of idle connections from the same address.
  std::size_t of_origin = 0;
  // It was opened some time ago and had no request since.
  bool is_unused = false;
  TimePoint since;
};

// Returns the idle connections in the order in which to close them: first those
// from the address that has most, of these the unused ones, of these those that
// are idle for longest.
std::vector<IdleConnection> IdleConnections(
    const std::list<std::shared_ptr<CallerConnection>>& callers,
    TimePoint now) {
  std::map<boost::asio::ip::address, std::size_t> count_by_origin;
  std::vector<IdleConnection> idle;
  for (const auto& caller : callers) {
    if (const std::optional<TimePoint> since = caller->IdleSince()) {
      ++count_by_origin[caller->origin()];
      idle.push_back({.connection = caller.get(),
                      .is_unused = !caller->was_used() &&
                                   now - *since >= kFirstRequestTime,
                      .since = *since});
    }
  }
  for (IdleConnection& item : idle) {
    item.of_origin = count_by_origin[item.connection->origin()];
  }
  std::sort(idle.begin(), idle.end(),
            [](const IdleConnection& one, const IdleConnection& other) {
              return std::tuple(other.of_origin, other.is_unused, one.since) <
                     std::tuple(one.of_origin, one.is_unused, other.since);
            });
  return idle;
}

}  // namespace

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
      entrance.accept_pending) {
    return;
  }
  entrance.accept_pending = true;
  if (this->IsFull()) {
    this->AwaitConnection(entrance);
    return;
  }
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

void ProxyServer::AwaitConnection(Entrance& entrance) {
  entrance.acceptor.async_wait(
      boost::asio::ip::tcp::acceptor::wait_read,
      [this, &entrance](error_code failure) {
        entrance.accept_pending = false;
        // Without room, the next tick tries again.
        if (!failure && this->MakeRoom(MonotonicNow())) {
          this->Accept(entrance);
        }
      });
}

bool ProxyServer::IsFull() const {
  return this->callers.size() >= this->options.max_connections;
}

bool ProxyServer::MakeRoom(TimePoint now) {
  this->RemoveClosed();
  if (this->IsFull()) {
    const std::size_t wanted = 1 + this->options.max_connections / kRoomDivisor;
    std::size_t closed = 0;
    for (const IdleConnection& idle : IdleConnections(this->callers, now)) {
      if (closed == wanted) {
        break;
      }
      closed += idle.connection->CloseForRoom() ? 1 : 0;
    }
    this->closed_for_room += closed;
    this->RemoveClosed();
  }
  if (!this->IsFull()) {
    this->blocked_since.reset();
    return true;
  }
  this->blocked_at = now;
  this->blocked_since = this->blocked_since.value_or(now);
  return false;
}

void ProxyServer::RemoveClosed() {
  this->callers.remove_if([](const auto& caller) {
    return caller->is_closed() && !caller->is_busy();
  });
}

bool ProxyServer::HasRoom(TimePoint now) const {
  return !this->blocked_since || now - *this->blocked_since < kMaxBlockedTime;
}

void ProxyServer::ReportClosed(TimePoint now) {
  if (this->closed_for_room == 0 || now - this->reported_at < kReportInterval) {
    return;
  }
  this->reported_at = now;
  this->context.observer.OnConnectionsClosed(
      {.closed = std::exchange(this->closed_for_room, 0),
       .open = this->connection_count()});
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
  while (!failure && !this->IsFull()) {
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
  this->RemoveClosed();
  // A connection's tick may close it but never adds one, so the list does not
  // change here.
  for (const auto& caller : this->callers) {
    caller->Tick(now);
  }
  if (this->blocked_since && now - this->blocked_at > kBlockedMemory) {
    this->blocked_since.reset();
  }
  this->context.body_budget.Tick(now, this->blocked_since.has_value());
  this->ReportClosed(now);
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
