#include "proxy/connection_pool.h"

#include <charconv>
#include <utility>

#include "proxy/endpoint.h"

namespace rosemarycove {
namespace {

// Maximum number of idle connections kept per server; more are needed only
// during a burst.
constexpr std::size_t kMaxIdlePerServer = 24;

}  // namespace

std::optional<PooledConnection> ConnectionPool::Acquire(
    const RegisteredServer& server, const std::string& request_id,
    TimePoint now) {
  std::vector<std::shared_ptr<BackendConnection>>& idle =
      this->idle_by_server[server.id];
  auto candidate = request_id.empty() ? idle.begin() : idle.end();
  while (candidate != idle.begin()) {
    --candidate;
    if (!(*candidate)->IsReusable() ||
        (*candidate)->IsUnanswered(this->paths) ||
        now - (*candidate)->idle_since() >= (*candidate)->idle_timeout()) {
      (*candidate)->Abort();
      candidate = idle.erase(candidate);
    } else if ((*candidate)->ReserveFor(request_id)) {
      std::shared_ptr<BackendConnection> connection = std::move(*candidate);
      idle.erase(candidate);
      const Duration idle = now - connection->idle_since();
      return PooledConnection{
          .connection = std::move(connection), .reused = true, .idle = idle};
    }
  }
  return this->Open(server, request_id);
}

std::optional<PooledConnection> ConnectionPool::AcquireNew(
    const RegisteredServer& server, const std::string& request_id) {
  this->CloseIdleTo(server.id);
  return this->Open(server, request_id);
}

std::optional<PooledConnection> ConnectionPool::Open(
    const RegisteredServer& server, const std::string& request_id) {
  const auto endpoint = ParseTcpEndpoint(server.address);
  if (!endpoint) {
    return std::nullopt;
  }
  auto connection = std::make_shared<BackendConnection>(this->io, *endpoint);
  static_cast<void>(connection->ReserveFor(request_id));
  return PooledConnection{.connection = std::move(connection)};
}

void ConnectionPool::Release(const RegisteredServer& server,
                             std::shared_ptr<BackendConnection> connection) {
  std::vector<std::shared_ptr<BackendConnection>>& idle =
      this->idle_by_server[server.id];
  if (connection->is_closed() || idle.size() >= kMaxIdlePerServer) {
    connection->Abort();
    return;
  }
  idle.push_back(std::move(connection));
}

void ConnectionPool::CloseExpired(TimePoint now) {
  for (auto& [id, idle] : this->idle_by_server) {
    std::erase_if(idle, [now](const auto& connection) {
      const bool expired =
          connection->is_closed() ||
          now - connection->idle_since() >= connection->idle_timeout();
      if (expired) {
        connection->Abort();
      }
      return expired;
    });
  }
  std::erase_if(this->idle_by_server,
                [](const auto& item) { return item.second.empty(); });
}

void ConnectionPool::CloseIdleTo(const std::string& server_id) {
  const auto found = this->idle_by_server.find(server_id);
  if (found == this->idle_by_server.end()) {
    return;
  }
  for (const auto& connection : found->second) {
    connection->Abort();
  }
  this->idle_by_server.erase(found);
}

std::size_t ConnectionPool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [id, idle] : this->idle_by_server) {
    count += idle.size();
  }
  return count;
}

}  // namespace rosemarycove
