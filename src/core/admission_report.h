// What instances tell each other for admission control.
#pragma once

#include <cstdint>
#include <vector>

#include "core/types.h"
#include "core/urgency.h"

namespace rosemarycove {

// Part of a fleet report.
struct AdmissionReport {
  // The time until which a refused request should not come back.
  struct Promise {
    std::uint64_t identity = 0;
    Duration remaining{};
  };
  // Recent arrivals of a customer in a tier of a service; older ones decay.
  struct Demand {
    std::uint64_t service_hash = 0;
    int tier = 0;
    std::uint64_t customer = 0;
    double count = 0;
  };
  // A tier of which requests were refused for lack of capacity just now.
  struct Refusal {
    std::uint64_t service_hash = 0;
    bool tolerates_pauses = false;
    Urgency urgency;
    int count = 0;
  };
  // Those made since the last report.
  std::vector<Promise> promises;
  // Empty unless requests were refused recently.
  std::vector<Demand> demands;
  std::vector<Refusal> refusals;

  [[nodiscard]] bool empty() const {
    return this->promises.empty() && this->demands.empty() &&
           this->refusals.empty();
  }
};

}  // namespace rosemarycove
