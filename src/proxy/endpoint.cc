#include "proxy/endpoint.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <cstdint>

namespace rosemarycove {

std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(
      std::string(text.substr(0, colon)), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, port_error] =
      std::from_chars(text.data() + colon + 1, end, port);
  if (error || port_error != std::errc() || rest != end || port == 0) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace rosemarycove
