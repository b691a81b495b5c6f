// Random numbers from a seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace rosemarycove::soak {

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}
  // From 0 up to, but not including, the limit.
  int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(this->engine);
  }
  bool OneIn(int count) { return this->Below(count) == 0; }
  std::chrono::milliseconds Between(int least_ms, int most_ms) {
    return std::chrono::milliseconds(least_ms +
                                     this->Below(most_ms - least_ms + 1));
  }

 private:
  std::mt19937_64 engine;
};

}  // namespace rosemarycove::soak
