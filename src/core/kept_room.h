// What a request leaves free on each engine for more urgent ones.
#pragma once

#include <optional>

#include "core/types.h"

namespace rosemarycove {

// Set by AdmissionController and applied by Placer. The defaults keep nothing.
struct KeptRoom {
  // Slots and tokens of the KV cache, in addition to those that the Placer
  // leaves free for each tier.
  double slots = 0;
  double kv_tokens = 0;
  // The time within which a more urgent request must be able to start behind
  // the prompts that the engine still has to prefill; nullopt if there is none.
  std::optional<Duration> urgent_start;
};

}  // namespace rosemarycove
