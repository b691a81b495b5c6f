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

constexpr std::size_t kReadBlock = 2048;
// A question about status has no body to speak of.
constexpr RequestLimits kLimits{.max_header_bytes = 8192,
                                .max_body_bytes = 1024};

}  // namespace

// One connection; shared because it lives while an operation is pending.
class StatusServer::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, const StatusServer& server)
      : socket(std::move(socket)), server(server) {}

  void Read() {
    this->block.resize(kReadBlock);
    this->socket.async_read_some(boost::asio::buffer(this->block),
                                 [self = this->shared_from_this()](
                                     error_code failure, std::size_t count) {
                                   if (failure) {
                                     return;
                                   }
                                   self->received.append(self->block.data(),
                                                         count);
                                   self->Advance();
                                 });
  }

 private:
  void Advance() {
    switch (this->reader->Feed(this->received)) {
      case RequestReader::Progress::kNeedMore:
      case RequestReader::Progress::kHead:
        this->Read();
        return;
      case RequestReader::Progress::kComplete:
        this->keep = this->reader->head().KeepsAlive();
        this->Write(
            this->server.Answer(std::string(this->reader->head().Path())));
        return;
      case RequestReader::Progress::kRejected:
        this->keep = false;
        this->Write(WriteLocalResponse(
            {.status = this->reader->rejection_status(), .close = true}));
        return;
    }
  }

  void Write(std::string bytes) {
    this->answer = std::move(bytes);
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->answer),
        [self = this->shared_from_this()](error_code failure, std::size_t) {
          if (failure || !self->keep) {
            return;
          }
          self->reader.emplace(kLimits);
          if (self->received.empty()) {
            self->Read();
          } else {
            self->Advance();
          }
        });
  }

  boost::asio::ip::tcp::socket socket;
  const StatusServer& server;
  std::string block;
  std::string received;
  std::string answer;
  std::optional<RequestReader> reader{std::in_place, kLimits};
  bool keep = false;
};

std::optional<std::string> StatusServer::Start(const std::string& address) {
  if (auto fault = Listen(this->acceptor, address)) {
    return fault;
  }
  AcceptAll(this->acceptor, [this](boost::asio::ip::tcp::socket socket) {
    std::make_shared<Connection>(std::move(socket), *this)->Read();
  });
  return std::nullopt;
}

int StatusServer::port() const { return PortOf(this->acceptor); }

std::string StatusServer::Answer(const std::string& path) const {
  const auto found = this->pages.find(path);
  if (found == this->pages.end()) {
    return WriteLocalResponse({.status = http_status::kNotFound});
  }
  const StatusPage page = found->second();
  return WriteLocalResponse({.status = page.status, .body = page.body});
}

}  // namespace rosemarycove
