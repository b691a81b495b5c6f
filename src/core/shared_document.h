// A document of the platform's store as instances relay it to each other.
#pragma once

#include <cstdint>
#include <string>

namespace rosemarycove {

// The state of one key at one revision of the store. The store increments its
// revision with every change of any key, so of two states of a key the one with
// the higher revision is newer.
struct SharedDocument {
  std::string key;
  std::uint64_t revision = 0;
  std::string value;
  // The key was removed at this revision.
  bool is_removed = false;
};

}  // namespace rosemarycove
