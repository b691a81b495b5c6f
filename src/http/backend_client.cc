#include "http/backend_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "proxy/http_reader.h"

namespace rosemarycove {
namespace {

constexpr int kDefaultPort = 80;
// Maximum bytes per read from the connection.
constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10U;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

std::string HostOf(const std::string& address) {
  const std::string host = address.substr(0, address.rfind(':'));
  const bool has_brackets =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  return has_brackets ? host.substr(1, host.size() - 2) : host;
}

int PortOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return colon == std::string::npos ? kDefaultPort
                                    : std::atoi(address.c_str() + colon + 1);
}

// Parses the response that arrives on a connection strictly and passes it on
// with chunks, so that only a complete response looks complete.
class CheckedStream : public httplib::Stream {
 public:
  explicit CheckedStream(httplib::Stream& connection)
      : connection(connection) {}

  [[nodiscard]] bool is_reusable() const {
    return this->is_complete && this->received.empty();
  }

  [[nodiscard]] bool is_readable() const override {
    return !this->checked.empty() || this->connection.is_readable();
  }
  [[nodiscard]] bool is_writable() const override {
    return this->connection.is_writable();
  }
  ssize_t read(char* buffer, size_t size) override {
    while (this->checked.empty()) {
      if (this->is_complete || !this->ReadMore()) {
        return -1;
      }
    }
    const std::size_t count = std::min(size, this->checked.size() - this->used);
    std::copy_n(this->checked.data() + this->used, count, buffer);
    this->used += count;
    if (this->used == this->checked.size()) {
      this->checked.clear();
      this->used = 0;
    }
    return static_cast<ssize_t>(count);
  }
  ssize_t write(const char* bytes, size_t size) override {
    return this->connection.write(bytes, size);
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    this->connection.get_remote_ip_and_port(ip, port);
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    this->connection.get_local_ip_and_port(ip, port);
  }
  [[nodiscard]] socket_t socket() const override {
    return this->connection.socket();
  }

 private:
  // Reads and checks further bytes. Returns false if the response has broken
  // off or is malformed.
  bool ReadMore() {
    std::array<char, kReadBufferBytes> buffer{};
    const ssize_t count = this->connection.read(buffer.data(), buffer.size());
    if (count < 0) {
      return false;
    }
    this->received.append(buffer.data(), static_cast<std::size_t>(count));
    const ResponseReader::Progress progress =
        count == 0 ? this->reader.FeedEof() : this->reader.Feed(this->received);
    if (progress == ResponseReader::Progress::kMalformed) {
      return false;
    }
    if (!this->reader.has_head()) {
      return true;
    }
    if (!this->has_passed_head) {
      this->has_passed_head = true;
      this->PassHead(this->reader.head());
    }
    const std::string body = this->reader.TakeBody();
    if (!body.empty()) {
      this->checked += fmt::format("{:x}\r\n{}\r\n", body.size(), body);
    }
    if (progress == ResponseReader::Progress::kComplete) {
      this->is_complete = true;
      this->checked += kLastChunk;
    }
    return true;
  }

  void PassHead(const ResponseHead& head) {
    this->checked +=
        fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
    for (const HeaderFieldView field : head.fields) {
      if (!field.is_hop_by_hop && !TokensEqual(field.name, "content-length")) {
        this->checked += fmt::format("{}: {}\r\n", field.name, field.value);
      }
    }
    if (!head.KeepsAlive() || head.framing == BodyFraming::kUntilClose) {
      this->checked += "Connection: close\r\n";
    }
    this->checked += "Transfer-Encoding: chunked\r\n\r\n";
  }

  httplib::Stream& connection;
  ResponseReader reader{false};
  // Bytes that were received and not yet parsed.
  std::string received;
  // Bytes of the response to pass on, of which the first `used` were.
  std::string checked;
  std::size_t used = 0;
  bool has_passed_head = false;
  bool is_complete = false;
};

}  // namespace

BackendClient::BackendClient(const std::string& address)
    : httplib::ClientImpl(HostOf(address), PortOf(address)) {}

bool BackendClient::process_socket(
    const Socket& socket,
    std::function<bool(httplib::Stream& stream)> callback) {
  this->reusable = false;
  return httplib::detail::process_client_socket(
      socket.sock, this->read_timeout_sec_, this->read_timeout_usec_,
      this->write_timeout_sec_, this->write_timeout_usec_,
      [&](httplib::Stream& connection) {
        CheckedStream checked(connection);
        const bool succeeded = callback(checked);
        this->reusable = succeeded && checked.is_reusable();
        return succeeded;
      });
}

}  // namespace rosemarycove
