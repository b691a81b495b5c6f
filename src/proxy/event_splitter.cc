#include "proxy/event_splitter.h"

#include <algorithm>

namespace rosemarycove {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  std::size_t at = this->buffer.size();
  this->buffer.append(bytes);
  // An event ends with an empty line. Lines end with CR, LF or both.
  std::size_t events_end = 0;
  for (; at < this->buffer.size(); ++at) {
    const char byte = this->buffer[at];
    if (byte == '\n' && this->after_carriage_return) {
      this->after_carriage_return = false;
      // The second half of the end of a line that was counted.
      if (events_end == at) {
        events_end = at + 1;
      }
      continue;
    }
    this->after_carriage_return = byte == '\r';
    if (byte != '\r' && byte != '\n') {
      this->at_line_start = false;
      continue;
    }
    if (this->at_line_start) {
      events_end = at + 1;
      ++this->count;
    }
    this->at_line_start = true;
  }
  std::string events = this->buffer.substr(0, events_end);
  this->buffer.erase(0, events_end);
  this->UpdateLastId(events);
  return events;
}

void EventSplitter::UpdateLastId(std::string_view events) {
  // Only the last id matters, so search from the end.
  std::size_t at = events.size();
  while (at > 0) {
    const std::size_t newline =
        at < 2 ? std::string_view::npos : events.find_last_of("\r\n", at - 2);
    const std::size_t start =
        newline == std::string_view::npos ? 0 : newline + 1;
    std::string_view line = events.substr(start, at - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      const std::size_t first = line.find_first_not_of(' ');
      const std::size_t last = line.find_last_not_of("\r\n");
      if (first != std::string_view::npos && last != std::string_view::npos &&
          first <= last) {
        this->id = std::string(line.substr(first, last - first + 1));
      }
      return;
    }
    at = start;
  }
}

}  // namespace rosemarycove
