// Accepts TCP connections on an address.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

namespace rosemarycove {

// Binds and listens on IP:PORT. Returns an error message, or nullopt on
// success.
std::optional<std::string> Listen(boost::asio::ip::tcp::acceptor& acceptor,
                                  const std::string& address);

// Returns the port that the acceptor is bound to, which the system chose if
// port 0 was requested.
int PortOf(const boost::asio::ip::tcp::acceptor& acceptor);

// Accepts connections and passes each to `on_accepted`, until the acceptor is
// closed. The acceptor must live until then.
void AcceptAll(boost::asio::ip::tcp::acceptor& acceptor,
               std::function<void(boost::asio::ip::tcp::socket)> on_accepted);

}  // namespace rosemarycove
