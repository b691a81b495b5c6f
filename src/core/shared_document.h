// A document of the platform's store as gateway instances relay it to each
// other.
#pragma once

#include <cstdint>
#include <string>

namespace rosemarycove {

// A document: the state of one key of the store at one revision. The store
// increments its revision with every change of any key, so of two documents of
// a key the one with the higher revision is newer. Revisions include the
// store's era (core/store_revision.h).
struct SharedDocument {
  std::string key;
  std::uint64_t revision = 0;
  std::string value;
  // True if the key was removed at this revision.
  bool is_removed = false;
};

}  // namespace rosemarycove
