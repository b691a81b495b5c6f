// Socket options of all connections of the data path and between instances.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/types.h"

namespace rosemarycove {

// Makes a connection fail once sent bytes stay unacknowledged for
// `unacknowledged`, and enables keep-alive probes, so that a network partition
// is detected even though no reset arrives. Also disables Nagle's algorithm.
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration unacknowledged);

}  // namespace rosemarycove
