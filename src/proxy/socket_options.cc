#include "proxy/socket_options.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/detail/socket_option.hpp>
#include <optional>

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
using UnsentLimit =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

// Bytes that wait in the kernel and can't be sent yet count as taken, but use
// the machine's memory, by default up to some megabytes for each connection.
constexpr int kMaxKernelUnsentBytes = 128 << 10;
// The kernel doubles this number to allow for its own data. It suffices for
// 200 Mbit/s at a round trip of 5 ms. It is set once: a smaller buffer later on
// makes the kernel drop bytes that the other side was allowed to send, which
// are retransmitted only after seconds.
constexpr int kMaxKernelUnreadBytes = 128 << 10;

// Keep-alive probes of an idle connection. With a user timeout, the kernel
// gives up at the first probe at which that timeout has passed; otherwise after
// this number of probes.
constexpr int kProbeAfterSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
// The number of probes without an answer with which the other side still counts
// as reachable: the answer to the last one may be on its way.
constexpr int kMaxUnansweredProbes = 1;

void SetUserTimeout(boost::asio::ip::tcp::socket& socket, Duration timeout) {
  // Setting options fails on a connection that is already broken; its next use
  // reports the error.
  boost::system::error_code ignored;
  socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
              .count())),
      ignored);
}

// Returns what the kernel knows of a connection; nullopt if it is broken.
std::optional<tcp_info> ReadTcpInfo(
    const boost::asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int descriptor =
      const_cast<boost::asio::ip::tcp::socket&>(socket).native_handle();
  if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return std::nullopt;
  }
  return info;
}

// Returns whether the other side has acknowledged all bytes that were sent and
// answers probes.
bool IsAcknowledging(const boost::asio::ip::tcp::socket& socket) {
  const std::optional<tcp_info> info = ReadTcpInfo(socket);
  return info && info->tcpi_unacked == 0 &&
         info->tcpi_probes <= kMaxUnansweredProbes;
}

}  // namespace

bool KernelPathMonitor::IsUnanswered(
    const boost::asio::ip::tcp::socket& socket) const {
  const std::optional<tcp_info> info = ReadTcpInfo(socket);
  return info && (info->tcpi_unacked > 0 || info->tcpi_probes > 0);
}

void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration user_timeout) {
  SetUserTimeout(socket, user_timeout);
  // See SetUserTimeout.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(ProbeAfter(kProbeAfterSeconds), ignored);
  socket.set_option(ProbeInterval(kProbeIntervalSeconds), ignored);
  socket.set_option(ProbeCount(kProbeCount), ignored);
}

void LimitKernelBuffers(boost::asio::ip::tcp::socket& socket) {
  // See SetUserTimeout.
  boost::system::error_code ignored;
  socket.set_option(UnsentLimit(kMaxKernelUnsentBytes), ignored);
  socket.set_option(
      boost::asio::socket_base::receive_buffer_size(kMaxKernelUnreadBytes),
      ignored);
}

bool UpdateUserTimeout(boost::asio::ip::tcp::socket& socket,
                       Duration user_timeout) {
  int waiting_bytes = 0;
  const bool waits =
      ::ioctl(socket.native_handle(), SIOCOUTQ, &waiting_bytes) == 0 &&
      waiting_bytes > 0;
  SetUserTimeout(socket,
                 waits && IsAcknowledging(socket) ? Duration{} : user_timeout);
  return waits;
}

}  // namespace rosemarycove
