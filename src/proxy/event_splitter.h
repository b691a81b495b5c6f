// Finds the events of a stream in bytes that arrive in any portions.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemarycove {

// Hands out whole events only, so that a stream that breaks off within an
// event can go on at another backend server without a trace.
class EventSplitter {
 public:
  // Takes bytes of the stream and returns the whole events among what is held.
  std::string Feed(std::string_view bytes);
  // What is held of an event that is not complete.
  std::string TakePartialEvent() { return std::move(this->held); }
  // Drops the part of an event that a broken stream left.
  void DiscardPartialEvent() {
    this->held.clear();
    this->scanned = 0;
  }

  // The id of the last whole event; empty before the first.
  [[nodiscard]] const std::string& last_id() const { return this->id; }
  [[nodiscard]] int event_count() const { return this->count; }

 private:
  void NoteLines(std::string_view events);

  std::string held;
  // Where the search for the next event's end goes on.
  std::size_t scanned = 0;
  std::string id;
  int count = 0;
};

}  // namespace rosemarycove
