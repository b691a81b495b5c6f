#include "http/bounded_response.h"

#include <string>
#include <utility>

#include "net/clock.h"

namespace rosemarycove {

httplib::Result SendBounded(BackendClient& client, httplib::Request request,
                            const ResponseBounds& bounds) {
  std::string body;
  const TimePoint end = MonotonicNow() + bounds.max_time;
  request.content_receiver = [&](const char* bytes, std::size_t count,
                                 std::uint64_t /*offset*/,
                                 std::uint64_t /*total*/) {
    if (body.size() + count > bounds.max_body_bytes || MonotonicNow() > end) {
      return false;
    }
    body.append(bytes, count);
    return true;
  };
  httplib::Result result = client.send(request);
  if (result) {
    result->body = std::move(body);
  }
  return result;
}

}  // namespace rosemarycove
