// An HTTP server with limits on connections, request size and time.
#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Options of an HTTP server.
struct HttpServerOptions {
  int max_connections = 256;
  // Maximum size of a request's body; a larger one is answered with 413.
  std::size_t max_body_bytes = 1 << 20;
  // Maximum size of header and body together; a larger request closes the
  // connection.
  std::size_t max_request_bytes = (1 << 20) + (1 << 16);
  // Maximum time from a request's first byte to its last.
  Duration read_timeout = std::chrono::seconds(15);
  // Maximum time that a write may block.
  Duration write_timeout = std::chrono::seconds(5);
  // Maximum time that a connection is kept open without a request.
  Duration idle_timeout = std::chrono::seconds(5);
};

// An httplib server whose handlers can check whether their caller is still
// connected. Connections beyond the limit get a response 503 and are closed.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(HttpServerOptions options);

  // Binds to the port, or to a free one if it is 0. Returns the port, or -1 if
  // binding failed.
  int Bind(const std::string& host, int port);
  // Closes idle connections, and others after their current response.
  void StartDraining() { this->is_draining = true; }

  // The number of connections that are served.
  [[nodiscard]] int active_count() const { return this->connection_count; }

  // Returns the socket of the request that this thread is handling, or -1.
  static int CurrentSocket();

 private:
  bool process_and_close_socket(socket_t sock) override;
  void ServeConnection(socket_t sock);

  HttpServerOptions options;
  std::atomic<int> connection_count = 0;
  std::atomic<bool> is_draining = false;
};

// Returns whether the other end has closed its connection or its sending side.
bool PeerHasClosed(int socket);

}  // namespace rosemarycove
