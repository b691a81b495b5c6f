// Revisions of the platform's store, ordered also across its restorations.
#pragma once

#include <cstdint>
#include <optional>

namespace rosemarycove {

// A store that comes back from a copy counts its revisions from a lower number
// again and gives some of them out twice. Its era counts how often that
// happened. Inside, a revision holds both, the era in the upper bits, so that
// what was written later has the higher revision. In era 0 it is the store's
// own number.
//
// The lower part has the bits that a JSON number keeps exact.
inline constexpr int kRevisionCountBits = 52;
inline constexpr std::uint64_t kMaxRevisionCount =
    (std::uint64_t{1} << kRevisionCountBits) - 1;
inline constexpr std::uint64_t kMaxStoreEra =
    (std::uint64_t{1} << (64 - kRevisionCountBits)) - 1;

// Returns the revision of the store's own number `count` in this era; 0, which
// is no revision, if the count is 0; nullopt if one of them has too many bits.
constexpr std::optional<std::uint64_t> MakeRevision(std::uint64_t era,
                                                    std::uint64_t count) {
  if (era > kMaxStoreEra || count > kMaxRevisionCount) {
    return std::nullopt;
  }
  return count == 0 ? 0 : era << kRevisionCountBits | count;
}

constexpr std::uint64_t EraOf(std::uint64_t revision) {
  return revision >> kRevisionCountBits;
}

// Returns the store's own number.
constexpr std::uint64_t CountOf(std::uint64_t revision) {
  return revision & kMaxRevisionCount;
}

}  // namespace rosemarycove
