#include "http/client_pool.h"

#include <utility>

namespace rosemarycove {

ClientPool::ClientPool(ClientPoolOptions options) : options(options) {}

std::unique_ptr<BackendClient> ClientPool::MakeClient(
    const std::string& address) const {
  auto client = std::make_unique<BackendClient>(address);
  client->set_connection_timeout(this->options.connect_timeout);
  client->set_read_timeout(this->options.stall_timeout);
  client->set_write_timeout(this->options.stall_timeout);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  return client;
}

std::unique_ptr<BackendClient> ClientPool::Acquire(const std::string& address) {
  {
    const std::lock_guard lock(this->mutex);
    auto& clients = this->idle[address];
    if (!clients.empty()) {
      std::unique_ptr<BackendClient> client = std::move(clients.back());
      clients.pop_back();
      return client;
    }
  }
  return this->MakeClient(address);
}

void ClientPool::Release(const std::string& address,
                         std::unique_ptr<BackendClient> client) {
  const std::lock_guard lock(this->mutex);
  auto& clients = this->idle[address];
  if (clients.size() < this->options.max_idle) {
    clients.push_back(std::move(client));
  }
}

}  // namespace rosemarycove
