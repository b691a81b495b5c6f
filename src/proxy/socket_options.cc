#include "proxy/socket_options.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace rosemarycove {
namespace {

using UserTimeout =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using ProbeAfter =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using ProbePause =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using ProbeCount =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

// Probes of a silent peer: found dead after about three seconds, which is
// within the shortest time limit of a request that may still be resent.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbePauseSeconds = 1;
constexpr int kProbes = 2;

}  // namespace

void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration unacknowledged) {
  // A socket that is already dead refuses options; its next use tells.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged)
              .count())),
      ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(ProbeAfter(kProbeAfterSeconds), ignored);
  socket.set_option(ProbePause(kProbePauseSeconds), ignored);
  socket.set_option(ProbeCount(kProbes), ignored);
}

}  // namespace rosemarycove
