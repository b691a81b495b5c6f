// Splits a stream of server-sent events (SSE) that arrives in chunks of any
// size.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemarycove {

// Returns complete events only, so that a stream that breaks off within an
// event can be resumed at another backend server without a visible gap.
class EventSplitter {
 public:
  // Adds bytes of the stream and returns the events that they complete.
  std::string Feed(std::string_view bytes);
  // Returns and clears the bytes of an incomplete event.
  std::string TakePartialEvent() { return std::move(this->buffer); }
  // Discards the bytes of an incomplete event, after a broken stream.
  void DiscardPartialEvent() {
    this->buffer.clear();
    this->scanned = 0;
  }

  // The last id among the complete events; empty before the first.
  [[nodiscard]] const std::string& last_id() const { return this->id; }
  // The number of complete events.
  [[nodiscard]] int event_count() const { return this->count; }

 private:
  void UpdateLastId(std::string_view events);

  std::string buffer;
  // Offset in the buffer at which the search for the end of an event resumes.
  std::size_t scanned = 0;
  std::string id;
  int count = 0;
};

}  // namespace rosemarycove
