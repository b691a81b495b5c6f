// A fleet of three data centres whose engines differ in speed and are slowed by
// noise, for tests of placement by speed and of leaving the data centre.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "tests/engine_fleet.h"

namespace rosemarycove {

constexpr std::size_t kUrgentDraft = 0;
constexpr std::size_t kLabel = 1;
constexpr std::size_t kReview = 2;

// Requests of which `load` times as many arrive as 36 engines of speeds 0.7,
// 0.7 and 1.7 serve with little queueing.
inline std::vector<RequestKind> UnevenFleetRequests(double load) {
  using std::chrono::milliseconds;
  constexpr double kDraftRate = 37;
  constexpr double kLabelRate = 76;
  constexpr double kReviewRate = 46;
  constexpr int kSubjects = 300;
  constexpr double kSkew = 0.5;
  return {{.route = {.name = "draft",
                     .kind = RouteKind::kStream,
                     .target = milliseconds(300),
                     .gap_target = milliseconds(250),
                     .tier = 0},
           .common_tokens = 60,
           .subject_tokens = 138,
           .own_tokens = 628,
           .subjects = kSubjects,
           .output_tokens = 300,
           .rate = [load](Duration) { return load * kDraftRate; },
           .subject_skew = kSkew},
          {.route = {.name = "label",
                     .kind = RouteKind::kStream,
                     .target = milliseconds(400),
                     .gap_target = milliseconds(400),
                     .tier = 1},
           .common_tokens = 200,
           .subject_tokens = 368,
           .own_tokens = 1800,
           .subjects = kSubjects,
           .output_tokens = 60,
           .rate = [load](Duration) { return load * kLabelRate; },
           .subject_skew = kSkew},
          {.route = {.name = "review",
                     .kind = RouteKind::kStream,
                     .target = milliseconds(2000),
                     .gap_target = milliseconds(1000),
                     .tier = 2},
           .tolerates_pauses = true,
           .common_tokens = 1382,
           .subject_tokens = 4000,
           .own_tokens = 6610,
           .subjects = kSubjects,
           .output_tokens = 400,
           .rate = [load](Duration) { return load * kReviewRate; },
           .subject_skew = kSkew}};
}

inline EngineFleetOptions UnevenFleetOptions(std::uint32_t seed) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  return {.instances = 24,
          .engines = 36,
          .slots = 16,
          .report_interval = milliseconds(490),
          // Prompts are prefilled in one step, which pauses all streams.
          .engine = {.token_time_base = microseconds(3030),
                     .token_time_per_stream = microseconds(120),
                     .prefill_rate = 92100,
                     .max_step_prompt_tokens = 100'000},
          .seed = seed,
          .data_centres = 3,
          .speeds = {0.7, 0.7, 1.7},
          .noise_share = 0.15,
          .noise_factor = 2.5,
          .states_slowdown = true,
          .tokens_per_event = 9,
          .kv_tokens = 490'742};
}

}  // namespace rosemarycove
