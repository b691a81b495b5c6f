#include "http/http_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <functional>
#include <string_view>
#include <tuple>
#include <utility>

#include "http/dynamic_thread_pool.h"
#include "net/clock.h"

namespace rosemarycove {
namespace {

// Connections that wait to be accepted; see Bind.
constexpr int kListenBacklog = 1024;
// Bytes per read from a socket.
constexpr std::size_t kReadBufferBytes = 16384;
// Connections beyond the limit that are answered with 503 at the same time.
constexpr std::size_t kRefusalThreads = 4;
constexpr std::string_view kOverloadResponse =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    "Content-Type: application/json\r\nConnection: close\r\n"
    "Content-Length: 108\r\n\r\n"
    "{\"error\":{\"message\":\"too many connections; come back later\","
    "\"type\":\"refused\",\"code\":\"connections\"},\"ran\":\"no\"}";

thread_local int current_socket = -1;

int ToPollTimeout(Duration duration) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(duration).count();
  return static_cast<int>(std::clamp<std::int64_t>(milliseconds, 0, 1 << 30));
}

bool WaitFor(int socket, decltype(pollfd::events) events, Duration timeout) {
  pollfd entry{.fd = socket, .events = events, .revents = 0};
  int result = 0;
  do {
    result = poll(&entry, 1, ToPollTimeout(timeout));
  } while (result < 0 && errno == EINTR);
  return result > 0;
}

// The stream that httplib reads and writes for a connection. Limits the size
// and the duration of each request.
class LimitedStream : public httplib::Stream {
 public:
  LimitedStream(int socket, const HttpServerOptions& options,
                const std::atomic<bool>& is_draining)
      : fd(socket), options(options), is_draining(is_draining) {}

  // Waits for the first byte of the next request; returns false after the idle
  // timeout or when the server is draining.
  bool AwaitRequest() {
    const bool ready = this->position < this->filled || this->AwaitBytes();
    this->request_bytes = 0;
    this->deadline = MonotonicNow() + this->options.read_timeout;
    return ready;
  }

  [[nodiscard]] bool is_readable() const override {
    return this->position < this->filled || WaitFor(this->fd, POLLIN, {});
  }

  [[nodiscard]] bool is_writable() const override {
    return WaitFor(this->fd, POLLOUT, this->options.write_timeout);
  }

  ssize_t read(char* data, size_t size) override {
    if (this->position == this->filled && !this->Fill()) {
      return -1;
    }
    const std::size_t count = std::min(size, this->filled - this->position);
    this->request_bytes += count;
    if (this->request_bytes > this->options.max_request_bytes) {
      return -1;
    }
    std::memcpy(data, this->buffer.data() + this->position, count);
    this->position += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* data, size_t size) override {
    std::size_t sent = 0;
    while (sent < size) {
      const ssize_t count =
          send(this->fd, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count >= 0) {
        sent += static_cast<std::size_t>(count);
      } else if (errno == EAGAIN) {
        if (!this->is_writable()) {
          return -1;
        }
      } else if (errno != EINTR) {
        return -1;
      }
    }
    return static_cast<ssize_t>(size);
  }

  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    this->GetAddress(getpeername, ip, port);
  }

  void get_local_ip_and_port(std::string& ip, int& port) const override {
    this->GetAddress(getsockname, ip, port);
  }

  [[nodiscard]] socket_t socket() const override { return this->fd; }

 private:
  // Polls in short intervals, so that an idle connection is closed soon after
  // the server began to drain.
  bool AwaitBytes() {
    constexpr Duration kPollInterval = std::chrono::milliseconds(100);
    for (Duration waited{}; waited < this->options.idle_timeout;
         waited += kPollInterval) {
      if (WaitFor(this->fd, POLLIN, kPollInterval)) {
        return true;
      }
      if (this->is_draining) {
        return false;
      }
    }
    return false;
  }

  bool Fill() {
    const Duration remaining = this->deadline - MonotonicNow();
    if (remaining <= Duration{} || !WaitFor(this->fd, POLLIN, remaining)) {
      return false;
    }
    const ssize_t count =
        recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
    if (count <= 0) {
      return false;
    }
    this->position = 0;
    this->filled = static_cast<std::size_t>(count);
    return true;
  }

  template <typename Getter>
  void GetAddress(Getter getter, std::string& ip, int& port) const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (getter(this->fd, reinterpret_cast<sockaddr*>(&address), &size) != 0 ||
        address.sin_family != AF_INET) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
  }

  int fd;
  const HttpServerOptions& options;
  const std::atomic<bool>& is_draining;
  std::array<char, kReadBufferBytes> buffer{};
  std::size_t position = 0;
  std::size_t filled = 0;
  std::size_t request_bytes = 0;
  TimePoint deadline;
};

// Adapts DynamicThreadPool to the task queue interface of httplib.
class ServerTaskQueue : public httplib::TaskQueue {
 public:
  explicit ServerTaskQueue(std::size_t threads) : pool(threads) {}
  void enqueue(std::function<void()> task) override {
    this->pool.Run(std::move(task));
  }
  void shutdown() override { this->pool.Shutdown(); }

 private:
  DynamicThreadPool pool;
};

}  // namespace

HttpServer::HttpServer(HttpServerOptions options) : options(options) {
  const std::size_t threads =
      static_cast<std::size_t>(options.max_connections) + kRefusalThreads;
  // httplib takes ownership of the queue.
  this->new_task_queue = [threads] { return new ServerTaskQueue(threads); };
  this->set_tcp_nodelay(true);
  this->set_payload_max_length(options.max_body_bytes);
  this->set_keep_alive_max_count(1 << 30);
}

int HttpServer::Bind(const std::string& host, int port) {
  int bound = port;
  if (port == 0) {
    bound = this->bind_to_any_port(host);
  } else if (!this->bind_to_port(host, port)) {
    bound = -1;
  }
  if (bound > 0) {
    // httplib's default backlog is too short for a burst of new callers.
    ::listen(this->svr_sock_, kListenBacklog);
  }
  return bound;
}

int HttpServer::CurrentSocket() { return current_socket; }

bool HttpServer::process_and_close_socket(socket_t sock) {
  if (++this->connection_count > this->options.max_connections) {
    std::ignore = send(sock, kOverloadResponse.data(), kOverloadResponse.size(),
                       MSG_NOSIGNAL);
  } else {
    this->ServeConnection(sock);
  }
  --this->connection_count;
  shutdown(sock, SHUT_RDWR);
  close(sock);
  return true;
}

void HttpServer::ServeConnection(socket_t sock) {
  current_socket = sock;
  LimitedStream stream(sock, this->options, this->is_draining);
  bool closed = false;
  while (!closed && stream.AwaitRequest()) {
    const bool is_last = this->is_draining.load();
    if (!this->process_request(stream, is_last, closed, nullptr) || is_last) {
      break;
    }
  }
  current_socket = -1;
}

bool PeerHasClosed(int socket) {
  pollfd entry{.fd = socket, .events = POLLRDHUP, .revents = 0};
  return poll(&entry, 1, 0) > 0 &&
         (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace rosemarycove
