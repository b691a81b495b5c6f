#include "http/sse_parser.h"

namespace rosemarycove {
namespace {

constexpr std::string_view kDataField = "data:";

// Appends the value of a data field to `data`. Returns false if the line is not
// an SSE field, a comment or empty.
bool ParseLine(std::string_view line, std::string& data) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty() || line.front() == ':') {
    return true;
  }
  if (line.substr(0, kDataField.size()) != kDataField) {
    return line.find(':') != std::string_view::npos;
  }
  line.remove_prefix(kDataField.size());
  if (!line.empty() && line.front() == ' ') {
    line.remove_prefix(1);
  }
  data += (data.empty() ? "" : "\n");
  data += line;
  return true;
}

}  // namespace

bool SseParser::Feed(std::string_view bytes,
                     const std::function<bool(std::string_view)>& handle) {
  this->buffer += bytes;
  std::size_t event_start = 0;
  std::size_t line_start = 0;
  std::string data;
  while (true) {
    const std::size_t end = this->buffer.find('\n', line_start);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view line =
        std::string_view(this->buffer).substr(line_start, end - line_start);
    line_start = end + 1;
    if (!ParseLine(line, data)) {
      return false;
    }
    if (line.empty() || line == "\r") {
      if (!data.empty() && !handle(data)) {
        return false;
      }
      data.clear();
      event_start = line_start;
    }
  }
  this->buffer.erase(0, event_start);
  return this->buffer.size() <= kMaxEventBytes;
}

}  // namespace rosemarycove
