#include "standins/standin_server.h"

#include <sys/socket.h>

namespace standins {
namespace {

constexpr std::size_t kThreadCount = 256;
constexpr int kListenBacklog = 1024;

thread_local socket_t current_socket = INVALID_SOCKET;

// Records the socket that each thread is serving, for CutConnection.
class TrackingServer : public httplib::Server {
 public:
  void SetBacklog() { ::listen(this->svr_sock_, kListenBacklog); }

 private:
  bool process_and_close_socket(socket_t sock) override {
    current_socket = sock;
    const bool done = httplib::detail::process_client_socket(
        sock, this->read_timeout_sec_, this->read_timeout_usec_,
        this->write_timeout_sec_, this->write_timeout_usec_,
        [this](httplib::Stream& stream) {
          bool closed = false;
          while (!closed && this->WaitForRequest(stream) &&
                 this->process_request(stream, false, closed, nullptr)) {
          }
          return true;
        });
    current_socket = INVALID_SOCKET;
    ::shutdown(sock, SHUT_RDWR);
    httplib::detail::close_socket(sock);
    return done;
  }

  // Waits for the next request on a persistent connection. Returns false at the
  // timeout and when the server stops.
  bool WaitForRequest(httplib::Stream& stream) {
    constexpr int kMaxWaits = 100;
    for (int i = 0; i < kMaxWaits && this->is_running(); ++i) {
      if (stream.is_readable()) {
        return true;
      }
    }
    return false;
  }
};

}  // namespace

StandinServer::StandinServer() : server(std::make_unique<TrackingServer>()) {
  this->server->new_task_queue = [] {
    return new httplib::ThreadPool(kThreadCount);
  };
  this->server->set_tcp_nodelay(true);
  // Also the time of one wait in WaitForRequest.
  this->server->set_read_timeout(std::chrono::milliseconds(200));
  this->switches.Register(*this->server);
}

StandinServer::~StandinServer() { this->Stop(); }

int StandinServer::Start(int port) {
  if (port == 0) {
    this->bound_port = this->server->bind_to_any_port("127.0.0.1");
  } else {
    this->bound_port =
        this->server->bind_to_port("127.0.0.1", port) ? port : -1;
  }
  if (this->bound_port > 0) {
    static_cast<TrackingServer&>(*this->server).SetBacklog();
    this->thread = std::thread([this] { this->server->listen_after_bind(); });
    while (!this->server->is_running()) {
      std::this_thread::yield();
    }
  }
  return this->bound_port;
}

void StandinServer::Stop() {
  if (this->thread.joinable()) {
    this->server->stop();
    this->thread.join();
  }
}

void StandinServer::CutConnection() {
  if (current_socket != INVALID_SOCKET) {
    ::shutdown(current_socket, SHUT_RDWR);
  }
}

}  // namespace standins
