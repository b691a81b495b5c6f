// Serves readiness and metrics over HTTP.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rosemarycove {

// The content of a page of the status server.
struct StatusPage {
  int status = 200;
  std::string body;
};

// Serves small pages; each is generated when it is requested. Used on the event
// loop's thread only.
class StatusServer {
 public:
  using PageHandler = std::function<StatusPage()>;

  explicit StatusServer(boost::asio::io_context& io) : io(io), acceptor(io) {}

  // Adds a page whose content `handler` returns for each request.
  void AddPage(const std::string& path, PageHandler handler) {
    this->pages[path] = std::move(handler);
  }
  // Binds and starts to accept. Returns an error message, or nullopt on
  // success.
  std::optional<std::string> Start(const std::string& address);
  // The port bound, which the system chose if port 0 was requested.
  [[nodiscard]] int port() const;

 private:
  class Connection;

  [[nodiscard]] std::string RespondTo(const std::string& path) const;

  boost::asio::io_context& io;
  boost::asio::ip::tcp::acceptor acceptor;
  // By path.
  std::map<std::string, PageHandler> pages;
};

}  // namespace rosemarycove
