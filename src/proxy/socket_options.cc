#include "proxy/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace rosemarycove {
namespace {

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeAfter =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbeInterval =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeCount =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

// Keep-alive probes of an idle connection. With a user timeout, the kernel
// gives up at the first probe at which that timeout has passed; otherwise after
// this number of probes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;

}  // namespace

void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration user_timeout) {
  // Setting options fails on a connection that is already broken; its next use
  // reports the error.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(user_timeout)
              .count())),
      ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(ProbeAfter(kProbeAfterSeconds), ignored);
  socket.set_option(ProbeInterval(kProbeIntervalSeconds), ignored);
  socket.set_option(ProbeCount(kProbeCount), ignored);
}

}  // namespace rosemarycove
