// Parses a stream of server-sent events (SSE).
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace rosemarycove {

// Accepts bytes in chunks of any size and reports complete events.
class SseParser {
 public:
  // Maximum size of an incomplete event; a larger one is an error.
  static constexpr std::size_t kMaxEventBytes = 1 << 18;

  // Adds bytes and calls `handle` with the data of each event that they
  // complete. `handle` returns false to stop. Returns false if it did so or if
  // the stream is malformed.
  bool Feed(std::string_view bytes,
            const std::function<bool(std::string_view)>& handle);
  // Returns whether bytes of an incomplete event are buffered.
  [[nodiscard]] bool has_partial_event() const { return !this->buffer.empty(); }

 private:
  std::string buffer;
};

}  // namespace rosemarycove
