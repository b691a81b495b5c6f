// Addresses of the form IP:PORT.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarycove {

// Reads an IPv4 number and a port; nothing when the text is neither.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text);

}  // namespace rosemarycove
