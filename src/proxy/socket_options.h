// Socket options of the connections of the gateway's data path and between
// gateways.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/types.h"

namespace rosemarycove {

// Makes a connection fail once sent bytes stay unacknowledged for
// `user_timeout`, and enables keep-alive probes, so that a network partition
// is detected even though no reset arrives. Probes are sent each second; at the
// second one or later, the connection fails if it got no answer for
// `user_timeout`. Also disables Nagle's algorithm.
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration user_timeout);

// Tells what the kernel knows of the path to the other side of a connection.
class PathMonitor {
 public:
  virtual ~PathMonitor() = default;
  // Returns whether bytes or probes that were sent on this connection have had
  // no answer yet.
  [[nodiscard]] virtual bool IsUnanswered(
      const boost::asio::ip::tcp::socket& socket) const = 0;
};

// Asks the kernel.
class KernelPathMonitor : public PathMonitor {
 public:
  [[nodiscard]] bool IsUnanswered(
      const boost::asio::ip::tcp::socket& socket) const override;
};

// Limits the bytes that wait in the kernel on a new connection: those to be
// sent, and those that have arrived and are not read.
void LimitKernelBuffers(boost::asio::ip::tcp::socket& socket);

// Sets the user timeout of a connection on which bytes wait to be sent, or
// turns it off while the other side acknowledges what it gets and just does not
// read: the timeout would end such a connection, too. To be called periodically
// until it returns false, when all bytes are acknowledged.
bool UpdateUserTimeout(boost::asio::ip::tcp::socket& socket,
                       Duration user_timeout);

}  // namespace rosemarycove
