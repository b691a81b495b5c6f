// Parses addresses of the form IP:PORT.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarycove {

// Parses an IPv4 address and a port other than 0; returns nullopt if the text
// is invalid.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text);

}  // namespace rosemarycove
