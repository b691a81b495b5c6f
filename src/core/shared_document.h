// A value of the platform's store as instances pass it on to each other.
#pragma once

#include <cstdint>
#include <string>

namespace rosemarycove {

// One key's state at one revision of the store. The revision grows with every
// change of any key, so of two states of a key the higher revision is newer.
struct SharedDocument {
  std::string key;
  std::uint64_t revision = 0;
  std::string value;
  bool is_removed = false;
};

}  // namespace rosemarycove
