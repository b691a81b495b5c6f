// Requests of the instance itself whose responses are bounded.
#pragma once

#include <httplib.h>

#include <cstddef>

#include "core/types.h"
#include "http/backend_client.h"

namespace rosemarycove {

struct ResponseBounds {
  std::size_t max_body_bytes = 0;
  // For the body, in addition to the client's timeout of each read.
  Duration max_time{};
};

// Sends the request and returns its whole response. The result is an error if
// the response exceeds the bounds; the connection is then closed.
httplib::Result SendBounded(BackendClient& client, httplib::Request request,
                            const ResponseBounds& bounds);

}  // namespace rosemarycove
