// A hash for tables whose keys callers choose.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rosemarycove {

// Hashes with a seed that is drawn when the process starts. The standard hash
// of an integer is the integer itself, so callers could choose keys that all
// fall into one bucket. Differs between processes, so it must not be sent to
// other instances.
struct SeededHash {
  std::size_t operator()(std::uint64_t key) const noexcept;
};

}  // namespace rosemarycove
