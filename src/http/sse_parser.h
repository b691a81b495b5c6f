// Splits a server-sent event stream into its events.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace rosemarycove {

// Takes bytes as they come and gives out whole events.
class SseParser {
 public:
  // An event without an end within this many bytes is a fault.
  static constexpr std::size_t kMaxEventBytes = 1 << 18;

  // Adds bytes. `handle` is given the data of each event that they complete
  // and returns false to stop. False after a fault or a stop.
  bool Feed(std::string_view bytes,
            const std::function<bool(std::string_view)>& handle);
  // Whether bytes of an unfinished event are left.
  [[nodiscard]] bool has_partial_event() const { return !this->rest.empty(); }

 private:
  std::string rest;
};

}  // namespace rosemarycove
