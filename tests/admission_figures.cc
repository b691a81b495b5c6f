// Prints what AdmissionFleet measures in each pattern, without and with
// admission control: the sums over five seeds.
#include <fmt/core.h>

#include <algorithm>

#include "tests/admission_patterns.h"

using namespace rosemarycove;                      // NOLINT
using namespace rosemarycove::admission_patterns;  // NOLINT
using Who = AdmissionFleet::Who;

namespace {

constexpr std::uint32_t kSeeds = 5;

void Add(ClassCounts& sum, const ClassCounts& counts) {
  sum.asked += counts.asked;
  sum.on_time += counts.on_time;
  sum.on_time_of_attempt += counts.on_time_of_attempt;
  sum.lost += counts.lost;
  sum.refusals += counts.refusals;
  sum.late_refusals += counts.late_refusals;
  sum.refused_again += counts.refused_again;
  sum.returns += counts.returns;
}

void Print(Pattern pattern, const char* name, int engines, bool in_order) {
  constexpr std::array<const char*, 3> kNames = {"urgent", "draft", "review"};
  constexpr std::array<const char*, 5> kWho = {
      "all", "heavy customer", "other customers", "impatient", "patient"};
  for (const bool has_admission : {false, true}) {
    std::array<std::array<ClassCounts, kWho.size()>, kNames.size()> sums;
    double spread = 0;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      AdmissionFleet fleet(Options(has_admission, engines, seed, in_order),
                           Classes(pattern));
      fleet.Run(kEnd);
      spread += fleet.MaxReturnsPerSlice() / fleet.MeanReturnsPerSlice();
      for (std::size_t index = 0; index < kNames.size(); ++index) {
        for (std::size_t who = 0; who < kWho.size(); ++who) {
          Add(sums[index][who],
              fleet.Counts(index, kFrom, kTo, static_cast<Who>(who)));
        }
      }
    }
    fmt::print(
        "{}, {} engines, prefill {}, {} admission control; most returns "
        "in 100 ms over mean: {:.1f}\n",
        name, engines, in_order ? "in order" : "by priority",
        has_admission ? "with" : "without", spread / kSeeds);
    for (std::size_t index = 0; index < kNames.size(); ++index) {
      for (std::size_t who = 0; who < kWho.size(); ++who) {
        const ClassCounts& sum = sums[index][who];
        fmt::print(
            "  {:7} {:15} asked {:5} on time {:.3f} (of the attempt "
            "{:.3f}) lost {:.3f} refusals per request {:.2f}, late "
            "{:.2f}, of returns {:.2f}\n",
            kNames[index], kWho[who], sum.asked, 1.0 * sum.on_time / sum.asked,
            1.0 * sum.on_time_of_attempt / sum.asked,
            1.0 * sum.lost / sum.asked, 1.0 * sum.refusals / sum.asked,
            1.0 * sum.late_refusals / sum.asked,
            1.0 * sum.refused_again / std::max(1, sum.returns));
      }
    }
  }
}

}  // namespace

int main() {
  Print(Pattern::kBursts, "bursts", 20, true);
  Print(Pattern::kBursts, "bursts", 20, false);
  Print(Pattern::kOverload, "overload", 20, true);
  Print(Pattern::kHeavyCustomer, "heavy customer", 18, true);
}
