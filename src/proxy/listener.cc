#include "proxy/listener.h"

#include <utility>

#include "proxy/endpoint.h"

namespace rosemarycove {

using boost::system::error_code;

std::optional<std::string> Listen(boost::asio::ip::tcp::acceptor& acceptor,
                                  const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const bool any_port =
      colon != std::string::npos && address.substr(colon + 1) == "0";
  // Port 0 requests a free port from the system; ParseTcpEndpoint rejects it,
  // so parse the address with another port.
  auto endpoint =
      ParseTcpEndpoint(any_port ? address.substr(0, colon) + ":1" : address);
  if (!endpoint) {
    return address + " is not an IPv4 address and a port";
  }
  if (any_port) {
    endpoint->port(0);
  }
  error_code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(*endpoint, error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return address + ": " + error.message();
  }
  return std::nullopt;
}

int PortOf(const boost::asio::ip::tcp::acceptor& acceptor) {
  error_code ignored;
  return acceptor.local_endpoint(ignored).port();
}

void AcceptAll(boost::asio::ip::tcp::acceptor& acceptor,
               std::function<void(boost::asio::ip::tcp::socket)> on_accepted) {
  acceptor.async_accept(
      [&acceptor, on_accepted = std::move(on_accepted)](
          error_code failure, boost::asio::ip::tcp::socket socket) mutable {
        if (failure == boost::asio::error::operation_aborted) {
          return;
        }
        if (!failure) {
          on_accepted(std::move(socket));
        }
        AcceptAll(acceptor, std::move(on_accepted));
      });
}

}  // namespace rosemarycove
