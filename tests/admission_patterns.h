// The load patterns of deployment A, at a quarter of its size, for
// AdmissionFleet.
#pragma once

#include <chrono>
#include <vector>

#include "tests/admission_fleet.h"

namespace rosemarycove::admission_patterns {

constexpr std::size_t kUrgent = 0;
constexpr std::size_t kDraft = 1;
constexpr std::size_t kReview = 2;

// The pattern is in force from kFrom to kTo.
constexpr Duration kFrom = std::chrono::seconds(10);
constexpr Duration kTo = std::chrono::seconds(20);
constexpr Duration kEnd = std::chrono::seconds(30);

enum class Pattern : std::uint8_t {
  // The long class sends 2.5 times its rate on cold caches for 7 s, and 2 s
  // after its start the urgent class 2.3 times.
  kBursts,
  // All classes send 1.5 times their rate.
  kOverload,
  // One customer sends 7.5 times its rate.
  kHeavyCustomer,
};

inline std::vector<CallerClass> Classes(Pattern pattern) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const auto rate = [pattern](double usual, double burst, Duration delay) {
    return [=](Duration at) {
      const bool in_burst = pattern == Pattern::kBursts &&
                            at >= kFrom + delay &&
                            at < kFrom + delay + seconds(7);
      const bool in_overload =
          pattern == Pattern::kOverload && at >= kFrom && at < kTo;
      return usual * (in_burst ? burst : 1) * (in_overload ? 1.5 : 1);
    };
  };
  const auto heavy = [pattern](Duration at) {
    return pattern == Pattern::kHeavyCustomer && at >= kFrom && at < kTo ? 7.5
                                                                         : 1.0;
  };
  return {{.route = {.name = "urgent",
                     .kind = RouteKind::kStream,
                     .timeout = seconds(10),
                     .target = milliseconds(600),
                     .gap_target = milliseconds(400),
                     .tier = 0},
           .common_tokens = 118,
           .subject_tokens = 80,
           .own_tokens = 628,
           .subjects = 130,
           .output_tokens = 200,
           .rate = rate(46, 2.3, seconds(2)),
           .heavy_factor = heavy},
          {.route = {.name = "draft",
                     .kind = RouteKind::kStream,
                     .timeout = milliseconds(2500),
                     .target = milliseconds(1500),
                     .gap_target = milliseconds(600),
                     .tier = 2},
           .common_tokens = 168,
           .subject_tokens = 400,
           .own_tokens = 1800,
           .subjects = 100,
           .output_tokens = 150,
           .rate = rate(38, 1, seconds(0)),
           .heavy_factor = heavy},
          {.route = {.name = "review",
                     .kind = RouteKind::kStream,
                     .timeout = seconds(12),
                     .target = milliseconds(2500),
                     .gap_target = milliseconds(1500),
                     .tier = 1},
           .tolerates_pauses = true,
           .common_tokens = 1382,
           .subject_tokens = 4000,
           .own_tokens = 6610,
           .subjects = 900,
           .output_tokens = 300,
           .rate = rate(29, 2.5, seconds(0)),
           .cold_from = pattern == Pattern::kBursts ? kFrom : Duration::max(),
           .heavy_factor = heavy}};
}

inline AdmissionFleetOptions Options(bool has_admission, int engines,
                                     std::uint32_t seed,
                                     bool prefills_in_order = true) {
  return {.has_admission = has_admission,
          .engines = engines,
          .engine = {.token_time_base = std::chrono::microseconds(2600),
                     .token_time_per_stream = std::chrono::microseconds(150),
                     .prefill_rate = 48200,
                     .max_step_prompt_tokens = 2048,
                     .prefills_in_order = prefills_in_order},
          .seed = seed};
}

}  // namespace rosemarycove::admission_patterns
