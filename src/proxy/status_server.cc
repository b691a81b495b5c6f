#include "proxy/status_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "http/http_status.h"
#include "proxy/http_reader.h"
#include "proxy/listener.h"
#include "proxy/message_writer.h"

namespace rosemarycove {
namespace {

using boost::system::error_code;

// Maximum bytes per read from a socket.
constexpr std::size_t kReadBufferBytes = 2048;
// Requests for status pages have no body or a small one.
constexpr RequestLimits kLimits{.max_header_bytes = 8192,
                                .max_body_bytes = 1024};

}  // namespace

// One connection. Ownership is shared, since it has to live until the pending
// operations on its socket have ended.
class StatusServer::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, const StatusServer& server)
      : socket(std::move(socket)), server(server) {}

  void Read() {
    this->read_buffer.resize(kReadBufferBytes);
    this->socket.async_read_some(boost::asio::buffer(this->read_buffer),
                                 [self = this->shared_from_this()](
                                     error_code failure, std::size_t count) {
                                   if (failure) {
                                     return;
                                   }
                                   self->received.append(
                                       self->read_buffer.data(), count);
                                   self->ParseReceived();
                                 });
  }

 private:
  void ParseReceived() {
    switch (this->reader->Feed(this->received)) {
      case RequestReader::Progress::kNeedMore:
      case RequestReader::Progress::kHead:
        this->Read();
        return;
      case RequestReader::Progress::kComplete:
        this->keep_open = this->reader->head().KeepsAlive();
        this->Write(
            this->server.RespondTo(std::string(this->reader->head().Path())));
        return;
      case RequestReader::Progress::kRejected:
        this->keep_open = false;
        this->Write(WriteLocalResponse(
            {.status = this->reader->rejection_status(), .close = true}));
        return;
    }
  }

  void Write(std::string bytes) {
    this->response = std::move(bytes);
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->response),
        [self = this->shared_from_this()](error_code failure, std::size_t) {
          if (failure || !self->keep_open) {
            return;
          }
          self->reader.emplace(kLimits);
          if (self->received.empty()) {
            self->Read();
          } else {
            self->ParseReceived();
          }
        });
  }

  boost::asio::ip::tcp::socket socket;
  const StatusServer& server;
  std::string read_buffer;
  std::string received;
  std::string response;
  std::optional<RequestReader> reader{std::in_place, kLimits};
  bool keep_open = false;
};

std::optional<std::string> StatusServer::Start(const std::string& address) {
  if (auto error = Listen(this->acceptor, address)) {
    return error;
  }
  AcceptAll(this->acceptor, [this](boost::asio::ip::tcp::socket socket) {
    std::make_shared<Connection>(std::move(socket), *this)->Read();
  });
  return std::nullopt;
}

int StatusServer::port() const { return PortOf(this->acceptor); }

std::string StatusServer::RespondTo(const std::string& path) const {
  const auto found = this->pages.find(path);
  if (found == this->pages.end()) {
    return WriteLocalResponse({.status = http_status::kNotFound});
  }
  const StatusPage page = found->second();
  return WriteLocalResponse({.status = page.status, .body = page.body});
}

}  // namespace rosemarycove
