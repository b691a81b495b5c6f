// Decides how many engines of each kind a service needs in each data centre.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/backend_directory.h"
#include "core/engine_pool.h"
#include "core/fleet_demand.h"
#include "core/held_maximum.h"
#include "core/routing_configuration.h"
#include "core/types.h"

namespace rosemarycove {

// Why a number of engines is ordered.
enum class OrderReason : std::uint8_t {
  kBeforeDemand,    // Headroom before demand is known.
  kUrgentDemand,    // Engines that stay must carry the urgent tiers.
  kDemand,          // Demand, with headroom for bursts.
  kSubstitute,      // There are no cheaper engines in their place.
  kReclaimed,       // The platform takes engines away.
  kMissing,         // Engines that were ordered don't come, or are gone.
  kOutcomeUnknown,  // The outcome of an order is not known.
  kMakeRoom,        // Engines of the other kind need their place.
  kReplaced,        // Cheaper engines serve in their place.
  kLessDemand,      // The need was not seen for a while.
};

// Returns the word that logs use.
std::string_view ToString(OrderReason reason);

// The engines of a kind that the service is to have in a data centre.
struct EngineChange {
  std::string data_centre;
  // Of the cheaper kind.
  bool is_reclaimable = false;
  int engine_count = 0;
  int previous_count = 0;
  OrderReason reason = OrderReason::kDemand;
};

// The importance of a change; smaller is more important.
enum class ChangeRank : std::uint8_t {
  kReplace,
  kRaisePlain,
  kRaiseReclaimable,
  kRestate,
  kMakeRoom,
  kLowerPlain,
  kLowerReclaimable
};

struct PlannedChange {
  ChangeRank rank = ChangeRank::kReplace;
  EngineChange change;
};

// The engines of a kind in a data centre, for metrics and logs.
struct EngineStatus {
  std::string data_centre;
  bool is_reclaimable = false;
  // The total that is wanted in the end, and that of the last order.
  int wanted = 0;
  int ordered = 0;
  int serving = 0;
  bool is_unavailable = false;
};

// Plans the engines of one service for one term of the instance that orders
// engines; it starts from what is registered. Pure decisions, under the
// caller's clock.
//
// The engines that stay are sized for the urgent tiers; the cheaper ones, which
// the platform may take away, for everything else with headroom for bursts.
// More engines are ordered at once, fewer slowly, and a plain engine is sent
// away only for a cheaper one that serves in its place.
class CapacityPlanner {
 public:
  explicit CapacityPlanner(std::string service) : service(std::move(service)) {}

  // Updates what is known. Must be called before NextChange.
  void Update(const EngineScaling& scaling,
              const std::map<std::string, RegisteredServer>& servers,
              const ServiceDemand& demand, TimePoint now);
  // Returns the most important change that is due now, if any.
  [[nodiscard]] std::optional<PlannedChange> NextChange(TimePoint now) const;
  // The outcome of an order. An order without effect is not recorded.
  void RecordAccepted(const EngineChange& change, TimePoint now);
  void RecordUnavailable(const EngineChange& change, TimePoint now);
  void RecordUnknown(const EngineChange& change, TimePoint now);

  [[nodiscard]] std::vector<EngineStatus> Status(TimePoint now) const;

 private:
  // The engines of one data centre.
  struct Site {
    Site();

    EnginePool plain;
    EnginePool reclaimable;
    double price = 1;
    // Needed engines, of the recent past too: for the urgent tiers with their
    // bursts, for all requests with theirs, and for all requests without.
    HeldMaximum urgent_need;
    HeldMaximum burst_need;
    HeldMaximum basic_need;
    // Recent values of `wanted_reclaimable`.
    HeldMaximum reclaimable_need;
    // The instances there report their demand.
    bool is_demand_known = true;
    // Engines that should be there, of both kinds, and of them those that stay.
    int assigned = 0;
    int plain_floor = 0;
    int wanted_plain = 0;
    int wanted_reclaimable = 0;
    OrderReason plain_reason = OrderReason::kUrgentDemand;
    OrderReason reclaimable_reason = OrderReason::kDemand;
    // Plain engines that this planner sent away and added.
    int replaced = 0;
    int added = 0;
  };
  using Sites = std::map<std::string, Site>;

  void UpdatePools(const std::map<std::string, RegisteredServer>& servers,
                   TimePoint now);
  void UpdateNeeds(const ServiceDemand& demand, TimePoint now);
  // Spreads the needed engines over the data centres.
  void Assign();
  void LimitReclaimableShare();
  // Moves what has no room at its data centre to others, the cheapest first.
  void PlaceElsewhere(int engines, const Site* origin);
  void PlanBeforeDemand(TimePoint now);
  void PlanReclaimable(TimePoint now);
  // Moves cheaper engines that are not to be had to where they are.
  void PlanSubstitutes(TimePoint now);
  void PlanPlain(TimePoint now);
  // Returns how many plain engines may be sent away now.
  [[nodiscard]] int ReleasablePlain(const Site& site, TimePoint now) const;
  // Returns whether engines were not to be had or were taken away lately, or
  // demand has not been known for long.
  [[nodiscard]] bool IsUnsettled(TimePoint now) const;
  // Returns whether the engines that a former holder ordered are not known yet.
  [[nodiscard]] bool IsNewTerm(TimePoint now) const;
  [[nodiscard]] int ReleasableReclaimable(const Site& site,
                                          TimePoint now) const;
  // Returns the changes that are due at a data centre: those that add engines
  // or state a total again, and those that remove some.
  void AddRaises(const std::string& name, const Site& site, TimePoint now,
                 std::vector<PlannedChange>& changes) const;
  void AddLowerings(const std::string& name, const Site& site, TimePoint now,
                    std::vector<PlannedChange>& changes) const;
  // Engines that may still be ordered at the data centre.
  [[nodiscard]] int Room(const Site& site) const;
  [[nodiscard]] std::vector<Site*> SitesByPrice();
  [[nodiscard]] bool HasReclaimable() const {
    return this->scaling.reclaimable_price.has_value();
  }
  // Returns whether the other kind is so cheap that it replaces plain engines
  // one for one, with headroom.
  [[nodiscard]] bool IsCheap() const;
  [[nodiscard]] Site& SiteOf(const EngineChange& change);
  [[nodiscard]] EnginePool& PoolOf(const EngineChange& change);

  std::string service;
  EngineScaling scaling;
  Sites sites;
  // When the term began.
  std::optional<TimePoint> started_at;
  // How long demand has been known, in this term and at all.
  Duration demand_seen_for{};
  Duration demand_known_for{};
  // The share of the demand that waited or was refused lately.
  double unserved_share = 0;
  TimePoint plain_lowered_at;
};

}  // namespace rosemarycove
