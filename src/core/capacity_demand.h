// Measures how many engines the requests of one instance need. Used by the
// proxy (src/proxy).
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/engine_demand.h"
#include "core/latency_model.h"
#include "core/types.h"

namespace rosemarycove {

// An attempt at an engine that has ended.
struct AttemptWork {
  // The request is of the most urgent tier of the service's routes.
  bool is_urgent = false;
  // Requests that the engine processes concurrently.
  int slots = 1;
  LatencyInputs inputs;
  // Time from the send to the first event; nullopt if there was none.
  std::optional<Duration> first_event;
  // Time from the send to the end.
  Duration running{};
};

// The requests of a service that wait for capacity at this instance.
struct WaitingRequests {
  int urgent = 0;
  int other = 0;
};

// Estimates the demand in engine-seconds per second. A request takes the time
// to prefill the tokens of its prompt that are not cached, during which the
// engine does nothing else, and after its first event a share of the engine:
// one of its slots. The prefill time of a token is learned. Each instance owns
// one and uses it on its event loop.
class CapacityDemand {
 public:
  void RecordAttempt(const std::string& service, const AttemptWork& work,
                     TimePoint now);
  // A request was refused for lack of capacity. `prompt_tokens` are those that
  // only this request has; others are probably cached.
  void RecordRefusal(const std::string& service, bool is_urgent,
                     int prompt_tokens, TimePoint now);
  // Returns the demand in the last seconds.
  [[nodiscard]] EngineDemand Measure(const std::string& service,
                                     const WaitingRequests& waiting,
                                     TimePoint now) const;

 private:
  // The work of one class of requests.
  struct Work {
    // Engine-seconds, of which older ones decay.
    double busy = 0;
    double unserved = 0;
    TimePoint updated_at;
    // Means over recent attempts, in seconds: of the time that a request keeps
    // an engine busy, of the part that is not prefill, and of the whole time.
    double mean_cost = 0;
    double mean_slot_cost = 0;
    double mean_running = 0;

    void DecayTo(TimePoint now);
    // Returns the demand, given the number of waiting requests.
    [[nodiscard]] DemandPart Demand(int waiting, TimePoint now) const;
  };
  struct ServiceWork {
    Work urgent;
    Work other;
    // Seconds to prefill a token; see Learn.
    double prefill_time = 0;

    Work& Of(bool is_urgent) { return is_urgent ? this->urgent : this->other; }
    // Updates the prefill time from the time to the first event.
    void Learn(const LatencyInputs& inputs, Duration first_event);
  };

  ServiceWork& WorkOf(const std::string& service);

  std::map<std::string, ServiceWork> services;
};

}  // namespace rosemarycove
