// Admission control of the proxy (src/proxy): decides at a request's arrival
// whether it is served, waits or is refused, and when a refused caller may
// return. See docs/design/admission.md.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/admission_report.h"
#include "core/kept_room.h"
#include "core/routing_configuration.h"
#include "core/seeded_hash.h"
#include "core/types.h"
#include "core/urgency.h"

namespace rosemarycove {

// The precedence of a request among those of its tier when there is too little
// room, highest first.
enum class Standing : std::uint8_t {
  kReturning,   // It was refused and comes back at the time that it was given.
  kFirst,       // Its first attempt, as far as this instance knows.
  kAboveShare,  // Its customer sends more than its fair share of the tier.
  kRepeated,    // It was refused and comes back before its time.
};

// Returns the word that logs use.
std::string_view ToString(Standing standing);

// A request as admission control sees it.
struct AdmissionRequest {
  std::string service;
  // The side of the service's partition; see Placer.
  bool tolerates_pauses = false;
  Urgency urgency;
  // IdHash of the customer.
  std::uint64_t customer = 0;
  // The same if the caller sends the request again.
  std::uint64_t identity = 0;
  // Tokens that it needs of an engine's KV cache.
  int kv_tokens = 0;
  Duration target{};
  // From its arrival to the time at which its caller gives up.
  Duration time_limit{};
};

// The engines of one side of a service's partition, as an instance knows them.
struct SideCapacity {
  int engines = 0;
  // Of all engines together.
  int slots = 0;
  // Requests that run on them, of all instances.
  int running = 0;
  // Mean time of an attempt; zero if unknown.
  Duration mean_duration{};
};

// The engines of a service.
struct ServiceCapacity {
  // The sides for requests that tolerate pauses, and for all others. A service
  // that is not partitioned has only the latter.
  SideCapacity reserved;
  SideCapacity unreserved;
  // Instances that send to them.
  int instances = 1;

  [[nodiscard]] const SideCapacity& Of(bool tolerates_pauses) const {
    return tolerates_pauses && this->reserved.engines > 0 ? this->reserved
                                                          : this->unreserved;
  }
};

// Whether a request for which no engine has room waits.
struct WaitDecision {
  bool waits = false;
  // Until there should be room for it, also if it doesn't wait.
  Duration expected{};
  // How long it may wait.
  Duration max_wait{};
  // Added to its latest start in the order of the queue.
  Duration order_delay{};
};

// Counts since the start of the process.
struct AdmissionCounts {
  // Arrivals by standing.
  std::map<Standing, std::uint64_t> arrivals;
  // Refusals by standing.
  std::map<Standing, std::uint64_t> refusals;
};

// Owned by the gateway and used on its event loop. Each instance decides alone,
// from its own arrivals and refusals, the servers' loads and what others
// report.
class AdmissionController {
 public:
  explicit AdmissionController(std::uint64_t seed = std::random_device()());

  // Applies admission control to the service from now on, also if its engines
  // can't be ordered; for tests.
  void Cover(const std::string& service) { this->covered.insert(service); }
  // Returns whether admission control applies; nothing else decides it. For
  // other services, the functions below must not be called.
  [[nodiscard]] bool Covers(const RoutedService& service) const;

  // Returns whether the capacity of the service has to be set again, since it
  // is old.
  [[nodiscard]] bool NeedsCapacity(const std::string& service,
                                   TimePoint now) const;
  void SetCapacity(const std::string& service, const ServiceCapacity& capacity,
                   TimePoint now) {
    this->capacities[service] = {.capacity = capacity, .set_at = now};
  }

  // Counts an arriving request; returns its standing.
  Standing RecordArrival(const AdmissionRequest& request, TimePoint now);
  // Returns what the request has to leave free on each engine.
  [[nodiscard]] KeptRoom RoomToKeep(const AdmissionRequest& request,
                                    Standing standing, TimePoint now) const;
  // Returns whether a more urgent request was refused here so recently that
  // this one may not take an engine of its side.
  [[nodiscard]] bool YieldsToRefused(const AdmissionRequest& request,
                                     TimePoint now) const;
  // Decides whether a request waits that no engine has room for. `ahead` is the
  // number of waiting requests that are at least as urgent.
  [[nodiscard]] WaitDecision DecideWait(const AdmissionRequest& request,
                                        Standing standing, int ahead,
                                        TimePoint now) const;
  // Records that the request is sent to an engine.
  void RecordAdmission(const AdmissionRequest& request, TimePoint now);
  // Records that the request is refused for lack of capacity. Returns the time
  // after which its caller may return.
  Duration RecordRefusal(const AdmissionRequest& request, Standing standing,
                         int ahead, TimePoint now);

  // Returns what the others should know, for fleet reports.
  [[nodiscard]] AdmissionReport Report(TimePoint now) const;
  // Called when a report was sent to all others.
  void RecordReportSent();
  void ApplyReport(const std::string& peer, const AdmissionReport& report,
                   TimePoint now);
  void RemovePeer(const std::string& peer) { this->peer_demands.erase(peer); }
  // Drops what is no longer needed; called periodically.
  void Expire(TimePoint now);

  [[nodiscard]] const AdmissionCounts& counts() const {
    return this->admission_counts;
  }
  // The number of refused requests that are expected to come back.
  [[nodiscard]] std::size_t promise_count() const {
    return this->promises.size();
  }

 private:
  // A count of events that decays exponentially.
  struct DecayingCount {
    double count = 0;
    TimePoint updated_at;

    void Add(double amount, TimePoint now, Duration decay_time);
    [[nodiscard]] double At(TimePoint now, Duration decay_time) const;
  };
  struct Promise {
    // When the caller was told to return.
    TimePoint due;
    // When the request was refused.
    TimePoint since;
  };
  struct SideKey {
    std::string service;
    bool tolerates_pauses = false;
    Urgency urgency;
    bool operator<(const SideKey& other) const;
  };
  // Requests of one urgency on one side of a service.
  struct Traffic {
    // Without those that came back too soon.
    DecayingCount arrivals;
    // Over a longer time.
    DecayingCount usual_arrivals;
    double mean_kv_tokens = 0;
    // Of the latest one.
    Duration target{};
    // When room is expected for the next caller that is refused.
    TimePoint next_room;
    // When the last one was refused here that was not above its share.
    TimePoint refused_at;
    // Here and elsewhere.
    DecayingCount refusals;
    // Refused here since the last report.
    int new_refusals = 0;
  };
  struct TierKey {
    std::uint64_t service_hash = 0;
    int tier = 0;

    bool operator==(const TierKey&) const = default;
    bool operator<(const TierKey& other) const;
  };
  // The requests of a tier of a service, by customer.
  struct TierDemand {
    std::map<std::uint64_t, DecayingCount> arrivals;
    DecayingCount admissions;
    DecayingCount refusals;
  };
  struct PeerDemands {
    std::vector<AdmissionReport::Demand> demands;
    TimePoint received_at;
  };

  // Returns how much more than its fair share of the tier the customer sends,
  // as a factor; 0 if it isn't far above it or there is room for all.
  [[nodiscard]] double ExcessOf(const AdmissionRequest& request, TimePoint now);
  // Returns to which degree, from 0 to 1, the service's requests that tolerate
  // pauses come in a burst that fills their engines.
  [[nodiscard]] double Surge(const std::string& service, TimePoint now) const;
  // The rate at which engines get free for requests of this urgency at this
  // instance, per second.
  [[nodiscard]] double ServiceRate(const AdmissionRequest& request,
                                   TimePoint now) const;
  // The capacity that was set last.
  [[nodiscard]] const ServiceCapacity& CapacityOf(
      const std::string& service) const;
  Traffic& TrafficOf(const AdmissionRequest& request);

  struct KnownCapacity {
    ServiceCapacity capacity;
    TimePoint set_at;
  };

  std::set<std::string> covered;
  // By service.
  std::map<std::string, KnownCapacity> capacities;
  std::map<SideKey, Traffic> traffic;
  std::map<TierKey, TierDemand> tiers;
  // By identity.
  std::unordered_map<std::uint64_t, Promise, SeededHash> promises;
  std::vector<std::uint64_t> new_promises;
  std::map<std::string, PeerDemands> peer_demands;
  AdmissionCounts admission_counts;
  std::mt19937_64 random;
};

}  // namespace rosemarycove
