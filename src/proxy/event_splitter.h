// Splits a stream of server-sent events (SSE) that arrives in chunks of any
// size.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemarycove {

// Collects the bytes of a stream and returns only complete events, so that a
// stream that ends within an event can be resumed at another backend server
// without a visible gap.
class EventSplitter {
 public:
  // Adds bytes of the stream and returns the events that they complete.
  std::string Feed(std::string_view bytes);
  // The bytes of an incomplete event at the end of the stream.
  [[nodiscard]] const std::string& partial_event() const {
    return this->buffer;
  }
  // Discards the bytes of an incomplete event, so that the stream of the next
  // attempt can be added.
  void DiscardPartialEvent() {
    this->buffer.clear();
    this->at_line_start = true;
    this->after_carriage_return = false;
  }

  // The last id among the complete events; empty if none had an id.
  [[nodiscard]] const std::string& last_id() const { return this->id; }
  // The number of complete events.
  [[nodiscard]] int event_count() const { return this->count; }

 private:
  void UpdateLastId(std::string_view events);

  std::string buffer;
  // The next byte begins a line.
  bool at_line_start = true;
  // The last byte was CR, which ended a line; LF may follow it.
  bool after_carriage_return = false;
  std::string id;
  int count = 0;
};

}  // namespace rosemarycove
