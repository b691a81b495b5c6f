#include "core/prompt_sizes.h"

#include <algorithm>
#include <cmath>

namespace rosemarycove {
namespace {

// The number of recent requests that the average covers.
constexpr int kAveragedRequests = 50;
// Routes that are gone are dropped above this number.
constexpr std::size_t kMaxRoutes = 10'000;

}  // namespace

int PromptSizes::Record(const std::string& route, int prompt_tokens) {
  if (this->averages.size() >= kMaxRoutes && !this->averages.contains(route)) {
    this->averages.clear();
  }
  Average& average = this->averages[route];
  average.count = std::min(average.count + 1, kAveragedRequests);
  average.tokens += (prompt_tokens - average.tokens) / average.count;
  return static_cast<int>(std::lround(average.tokens));
}

}  // namespace rosemarycove
