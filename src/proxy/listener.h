// Taking connections on an address.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace rosemarycove {

// Binds and listens on IP:PORT; returns the fault, or nothing.
std::optional<std::string> Listen(boost::asio::ip::tcp::acceptor& acceptor,
                                  const std::string& address);

// The port bound, which port 0 leaves to the system.
int PortOf(const boost::asio::ip::tcp::acceptor& acceptor);

// Takes connections until the acceptor is closed. It must outlive that.
void AcceptAll(boost::asio::ip::tcp::acceptor& acceptor,
               std::function<void(boost::asio::ip::tcp::socket)> take);

}  // namespace rosemarycove
