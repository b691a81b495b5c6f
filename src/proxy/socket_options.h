// Options that every socket of the data path and of the links has.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/types.h"

namespace rosemarycove {

// Unacknowledged bytes break a connection after `unacknowledged`, and a peer
// that says nothing is probed, so that a cut that resets nothing is found.
void SetLivenessOptions(boost::asio::ip::tcp::socket& socket,
                        Duration unacknowledged);

}  // namespace rosemarycove
