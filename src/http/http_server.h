// An HTTP server with bounds on connections, request size and time.
#pragma once

#include <httplib.h>

#include <atomic>
#include <memory>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// How an HTTP server is set up.
struct HttpServerOptions {
  int max_connections = 256;
  // Bytes of one request's body; a larger one is answered with 413.
  std::size_t max_body_bytes = 1 << 20;
  // Bytes of headers and body together; beyond it the connection is closed.
  std::size_t max_request_bytes = (1 << 20) + (1 << 16);
  // Time in which a request has to arrive once it has begun.
  Duration read_timeout = std::chrono::seconds(15);
  // Time for a part of the answer to be taken.
  Duration write_timeout = std::chrono::seconds(5);
  // Time that an idle connection is kept.
  Duration idle_timeout = std::chrono::seconds(5);
};

// An httplib server whose handlers can tell whether their caller is still
// there, and which refuses connections beyond its bound with 503.
class HttpServer : public httplib::Server {
 public:
  explicit HttpServer(HttpServerOptions options);

  // Binds to the port, or to any when it is 0. Returns the port, or -1.
  int Bind(const std::string& host, int port);
  // From now on, connections are closed after their current answer.
  void StartDraining() { this->closing = true; }

  // The socket of the request that this thread is handling, or -1.
  static int CurrentSocket();

 private:
  bool process_and_close_socket(socket_t sock) override;
  void Serve(socket_t sock);

  HttpServerOptions options;
  std::atomic<int> connections = 0;
  std::atomic<bool> closing = false;
};

// Whether the other end has closed its connection or its sending side.
bool PeerHasClosed(int socket);

}  // namespace rosemarycove
