// Answers whether the instance is ready, and gives its metrics.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace rosemarycove {

// A page of the status server.
struct StatusPage {
  int status = 200;
  std::string body;
};

// Serves small pages by GET, each made when it is asked for.
class StatusServer {
 public:
  using PageHandler = std::function<StatusPage()>;

  explicit StatusServer(boost::asio::io_context& io) : io(io), acceptor(io) {}

  void AddPage(const std::string& path, PageHandler page) {
    this->pages[path] = std::move(page);
  }
  // Binds and begins; returns the fault, or nothing.
  std::optional<std::string> Start(const std::string& address);
  [[nodiscard]] int port() const;

 private:
  class Connection;

  [[nodiscard]] std::string Answer(const std::string& path) const;

  boost::asio::io_context& io;
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<std::string, PageHandler> pages;
};

}  // namespace rosemarycove
