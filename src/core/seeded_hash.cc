#include "core/seeded_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <random>

namespace rosemarycove {
namespace {

std::uint64_t DrawSeed() {
  constexpr unsigned kHalf = 32;
  std::random_device device;
  return std::uint64_t{device()} << kHalf | device();
}

}  // namespace

std::size_t SeededHash::operator()(std::uint64_t key) const noexcept {
  static const std::uint64_t kSeed = DrawSeed();
  return XXH3_64bits_withSeed(&key, sizeof key, kSeed);
}

}  // namespace rosemarycove
