#include "proxy/event_splitter.h"

#include <algorithm>

namespace rosemarycove {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  this->buffer.append(bytes);
  // An event ends with an empty line.
  std::size_t events_end = 0;
  std::size_t line = this->scanned;
  while (true) {
    const std::size_t newline = this->buffer.find('\n', line);
    if (newline == std::string::npos) {
      break;
    }
    const std::size_t length = newline - line;
    if (length == 0 || (length == 1 && this->buffer[line] == '\r')) {
      events_end = newline + 1;
      ++this->count;
    }
    line = newline + 1;
  }
  std::string events = this->buffer.substr(0, events_end);
  this->buffer.erase(0, events_end);
  this->scanned = line - events_end;
  this->UpdateLastId(events);
  return events;
}

void EventSplitter::UpdateLastId(std::string_view events) {
  // Only the last id matters, so search from the end.
  std::size_t at = events.size();
  while (at > 0) {
    const std::size_t newline =
        at < 2 ? std::string_view::npos : events.rfind('\n', at - 2);
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
