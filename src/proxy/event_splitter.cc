#include "proxy/event_splitter.h"

#include <algorithm>

namespace rosemarycove {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  this->held.append(bytes);
  // An event ends with an empty line.
  std::size_t end = 0;
  std::size_t line = this->scanned;
  while (true) {
    const std::size_t feed = this->held.find('\n', line);
    if (feed == std::string::npos) {
      break;
    }
    const std::size_t length = feed - line;
    if (length == 0 || (length == 1 && this->held[line] == '\r')) {
      end = feed + 1;
      ++this->count;
    }
    line = feed + 1;
  }
  std::string whole = this->held.substr(0, end);
  this->held.erase(0, end);
  this->scanned = line - end;
  this->NoteLines(whole);
  return whole;
}

void EventSplitter::NoteLines(std::string_view events) {
  // Only the last id matters.
  std::size_t at = events.size();
  while (at > 0) {
    const std::size_t feed =
        at < 2 ? std::string_view::npos : events.rfind('\n', at - 2);
    const std::size_t start = feed == std::string_view::npos ? 0 : feed + 1;
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
