#include "core/capacity_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <utility>

namespace rosemarycove {
namespace {

// Bursts are 2.2 to 2.8 times the usual rate and come within a second, so
// capacity must be there before: this many times the mean demand.
constexpr double kUrgentHeadroom = 2.5;
constexpr double kCheapHeadroom = 2.5;
// The same while the other kind is not much cheaper, or there is none.
constexpr double kCostlyHeadroom = 1.5;
constexpr double kCheapPrice = 0.5;
// Engines that every mean demand gets, at whatever price.
constexpr double kBasicHeadroom = 1.25;
// The share of its time that an engine can be busy without making its requests
// late.
constexpr double kMaxUtilisation = 0.8;
// All cheaper engines together may cost this share of the engines that are
// present before demand is known.
constexpr double kEarlyCostShare = 1.0 / 3;
constexpr Duration kMinKnownTime = std::chrono::seconds(3);
// No engine is sent away within this time after its need was last seen. A
// cheaper one costs little while it is not needed.
constexpr Duration kNeedHold = std::chrono::seconds(20);
constexpr Duration kReclaimableHold = std::chrono::seconds(60);
// At one data centre, and at all.
constexpr Duration kLowerInterval = std::chrono::seconds(7);
constexpr Duration kLowerReclaimableInterval = std::chrono::seconds(10);
constexpr Duration kFleetLowerInterval = std::chrono::seconds(2);
// After engines were taken away, none are sent away for this long.
constexpr Duration kUnsettledTime = std::chrono::seconds(20);
// In a new term with known demand, engines that the former holder ordered may
// still boot, and crashed ones come back; only after the boot time and this do
// the registered ones tell how many there will be.
constexpr Duration kTermSettlingTime = std::chrono::seconds(8);
// Engines that are sent away at a time, of this many.
constexpr int kMaxStep = 4;
constexpr int kStepDivisor = 8;
// An increase by fewer engines waits, so that noise causes few orders.
constexpr int kMinRaise = 5;
constexpr double kMinRaiseShare = 0.1;
constexpr Duration kSmallRaiseInterval = std::chrono::seconds(10);
// A data centre has at most this share of all cheaper engines if there are
// others, since the platform may take all of a data centre at once.
constexpr double kMaxReclaimableShare = 0.5;
constexpr std::size_t kMinSharingSites = 3;
// The share of the demand that may wait or be refused while engines at the
// maximum are replaced, a few at a time.
constexpr double kMaxUnservedShare = 0.02;

// Indexed by OrderReason.
constexpr std::array<std::string_view, 10> kReasonNames = {
    "before_demand", "urgent_demand", "demand",          "substitute",
    "reclaimed",     "missing",       "outcome_unknown", "make_room",
    "replaced",      "less_demand"};

int CeilOf(double engines) {
  // A little less, so that rounding errors don't add an engine.
  constexpr double kTolerance = 1e-6;
  return static_cast<int>(std::ceil(std::max(engines - kTolerance, 0.0)));
}

int StepOf(int engines) {
  return std::clamp(engines / kStepDivisor, 1, kMaxStep);
}

// Returns whether an increase to `wanted` is worth an order now.
bool IsWorthRaising(const EnginePool& pool, int wanted, TimePoint now) {
  const int missing = wanted - pool.planned();
  const int min_raise =
      std::max(kMinRaise, static_cast<int>(kMinRaiseShare * pool.planned()));
  return missing >= min_raise ||
         (missing > 0 && now - pool.raised_at() >= kSmallRaiseInterval);
}

OrderReason ReasonOf(RestateReason reason) {
  switch (reason) {
    case RestateReason::kReclaimed:
      return OrderReason::kReclaimed;
    case RestateReason::kMissing:
      return OrderReason::kMissing;
    case RestateReason::kOutcomeUnknown:
      return OrderReason::kOutcomeUnknown;
  }
  return OrderReason::kMissing;
}

}  // namespace

std::string_view ToString(OrderReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

CapacityPlanner::Site::Site()
    : urgent_need(kNeedHold),
      burst_need(kNeedHold),
      basic_need(kNeedHold),
      reclaimable_need(kReclaimableHold) {}

void CapacityPlanner::Update(
    const EngineScaling& new_scaling,
    const std::map<std::string, RegisteredServer>& servers,
    const ServiceDemand& demand, TimePoint now) {
  this->scaling = new_scaling;
  this->started_at = this->started_at.value_or(now);
  this->demand_known_for = demand.known_for;
  this->demand_seen_for = std::min(demand.known_for, now - *this->started_at);
  this->UpdatePools(servers, now);
  this->UpdateNeeds(demand, now);
  if (this->demand_known_for < kMinKnownTime) {
    this->PlanBeforeDemand(now);
    return;
  }
  this->Assign();
  this->PlanReclaimable(now);
  this->PlanSubstitutes(now);
  this->PlanPlain(now);
}

void CapacityPlanner::UpdatePools(
    const std::map<std::string, RegisteredServer>& servers, TimePoint now) {
  struct Ids {
    std::set<std::string> serving;
    std::set<std::string> leaving;
  };
  // By data centre and whether the engines are reclaimable.
  std::map<std::pair<std::string, bool>, Ids> registered;
  for (const auto& [id, server] : servers) {
    if (server.service != this->service) {
      continue;
    }
    this->sites[server.data_centre];
    Ids& ids = registered[{server.data_centre, server.is_reclaimable}];
    if (!server.is_draining) {
      ids.serving.insert(id);
    } else if (server.leaves_in) {
      ids.leaving.insert(id);
    }
  }
  for (const auto& [name, price] : this->scaling.price_by_data_centre) {
    this->sites[name];
  }
  for (auto& [name, site] : this->sites) {
    const auto price = this->scaling.price_by_data_centre.find(name);
    site.price =
        price == this->scaling.price_by_data_centre.end() ? 1 : price->second;
    Ids& plain = registered[{name, false}];
    site.plain.Update(std::move(plain.serving), std::move(plain.leaving),
                      this->scaling.boot_time, now);
    Ids& reclaimable = registered[{name, true}];
    site.reclaimable.Update(std::move(reclaimable.serving),
                            std::move(reclaimable.leaving),
                            this->scaling.boot_time, now);
  }
}

void CapacityPlanner::UpdateNeeds(const ServiceDemand& demand, TimePoint now) {
  const bool is_cheap =
      this->HasReclaimable() && *this->scaling.reclaimable_price <= kCheapPrice;
  const double headroom = is_cheap ? kCheapHeadroom : kCostlyHeadroom;
  double total = 0;
  double unserved = 0;
  for (auto& [name, site] : this->sites) {
    const auto found = demand.data_centres.find(name);
    const DataCentreDemand local = found == demand.data_centres.end()
                                       ? DataCentreDemand{.is_complete = true}
                                       : found->second;
    total += local.Total();
    unserved += local.unserved;
    site.is_demand_known = local.is_complete;
    site.urgent_need.Add(kUrgentHeadroom * local.urgent / kMaxUtilisation, now);
    site.burst_need.Add(headroom * local.Total() / kMaxUtilisation, now);
    site.basic_need.Add(kBasicHeadroom * local.Total() / kMaxUtilisation, now);
  }
  this->unserved_share = total > 0 ? unserved / total : 0;
}

bool CapacityPlanner::IsCheap() const {
  return this->HasReclaimable() &&
         *this->scaling.reclaimable_price <= kCheapPrice;
}

std::vector<CapacityPlanner::Site*> CapacityPlanner::SitesByPrice() {
  std::vector<Site*> ordered;
  for (auto& [name, site] : this->sites) {
    ordered.push_back(&site);
  }
  std::stable_sort(
      ordered.begin(), ordered.end(),
      [](const Site* a, const Site* b) { return a->price < b->price; });
  return ordered;
}

int CapacityPlanner::Room(const Site& site) const {
  return std::max(this->scaling.max_engines - site.plain.planned() -
                      site.reclaimable.planned(),
                  0);
}

void CapacityPlanner::PlaceElsewhere(int engines, const Site* origin) {
  for (Site* site : this->SitesByPrice()) {
    if (site != origin) {
      const int added = std::clamp(this->scaling.max_engines - site->assigned,
                                   0, std::max(engines, 0));
      site->assigned += added;
      engines -= added;
    }
  }
}

void CapacityPlanner::Assign() {
  const int max = this->scaling.max_engines;
  std::vector<std::pair<Site*, int>> without_room;
  for (auto& [name, site] : this->sites) {
    const int needed =
        std::max(CeilOf(site.burst_need.Get()), this->scaling.min_engines);
    site.assigned = std::min(needed, max);
    site.plain_floor = std::min(CeilOf(site.urgent_need.Get()), max);
    if (!this->HasReclaimable()) {
      site.plain_floor = std::max(site.plain_floor, site.assigned);
    }
    without_room.emplace_back(&site, needed - site.assigned);
  }
  for (const auto& [site, engines] : without_room) {
    this->PlaceElsewhere(engines, site);
  }
  if (this->sites.size() >= kMinSharingSites) {
    this->LimitReclaimableShare();
  }
}

void CapacityPlanner::LimitReclaimableShare() {
  int all = 0;
  for (const auto& [name, site] : this->sites) {
    all += std::max(site.assigned - site.plain_floor, 0);
  }
  const int limit = CeilOf(kMaxReclaimableShare * all);
  for (auto& [name, site] : this->sites) {
    const int surplus = std::max(site.assigned - site.plain_floor, 0) - limit;
    if (surplus > 0) {
      site.assigned -= surplus;
      this->PlaceElsewhere(surplus, &site);
    }
  }
}

void CapacityPlanner::PlanBeforeDemand(TimePoint now) {
  double budget = 0;
  for (auto& [name, site] : this->sites) {
    site.wanted_plain = site.plain.planned();
    site.wanted_reclaimable = site.reclaimable.planned();
    site.reclaimable_reason = OrderReason::kBeforeDemand;
    budget += kEarlyCostShare * site.price * site.plain.serving();
  }
  if (!this->HasReclaimable()) {
    return;
  }
  const double relative_price = *this->scaling.reclaimable_price;
  for (const auto& [name, site] : this->sites) {
    budget -= relative_price * site.price * site.reclaimable.planned();
  }
  // Each data centre gets its share; what has no room goes to the others, and
  // what is left is tried again where none were to be had.
  enum Pass : std::uint8_t { kOwnShare, kRest, kRetry };
  for (const Pass pass : {kOwnShare, kRest, kRetry}) {
    for (Site* site : this->SitesByPrice()) {
      const double price = relative_price * site->price;
      const int room = this->scaling.max_engines - site->wanted_plain -
                       site->wanted_reclaimable;
      if (room <= 0 ||
          site->reclaimable.IsUnavailable(now) != (pass == kRetry)) {
        continue;
      }
      const double share =
          kEarlyCostShare * site->price * site->plain.serving() -
          price * site->wanted_reclaimable;
      const double spendable =
          pass == kOwnShare ? std::min(budget, share) : budget;
      const int affordable = price > 0
                                 ? static_cast<int>(std::min<double>(
                                       room, std::max(spendable, 0.0) / price))
                                 : room;
      const int added = std::min(affordable, room);
      site->wanted_reclaimable += added;
      budget -= price * added;
    }
  }
}

void CapacityPlanner::PlanReclaimable(TimePoint now) {
  const int max = this->scaling.max_engines;
  for (auto& [name, site] : this->sites) {
    site.reclaimable_reason = OrderReason::kDemand;
    site.wanted_reclaimable = 0;
    if (this->HasReclaimable()) {
      const int plain = std::max(site.plain.planned(), site.plain_floor);
      // One for each plain engine that was or will be sent away, so that the
      // total stays as it was at the start of the term.
      const int in_their_place =
          site.plain.planned() + site.replaced - site.added - site.plain_floor;
      site.wanted_reclaimable =
          std::clamp(std::max(site.assigned - site.plain_floor,
                              this->IsCheap() ? in_their_place : 0),
                     0, std::max(max - plain, 0));
    }
    site.reclaimable_need.Add(site.wanted_reclaimable, now);
  }
}

void CapacityPlanner::PlanSubstitutes(TimePoint now) {
  int missing = 0;
  for (const auto& [name, site] : this->sites) {
    if (site.reclaimable.IsUnavailable(now)) {
      missing +=
          std::max(site.wanted_reclaimable - site.reclaimable.expected(now), 0);
    }
  }
  for (Site* site : this->SitesByPrice()) {
    const int plain = std::max(site->plain.planned(), site->plain_floor);
    const int room =
        this->scaling.max_engines - plain -
        std::max(site->reclaimable.planned(), site->wanted_reclaimable);
    if (missing <= 0 || site->reclaimable.IsUnavailable(now) || room <= 0) {
      continue;
    }
    // What is there beyond the data centre's own need serves already.
    const int spare =
        std::max(site->reclaimable.planned() - site->wanted_reclaimable, 0);
    const int added = std::clamp(missing - spare, 0, room);
    if (added > 0) {
      site->wanted_reclaimable =
          std::max(site->reclaimable.planned(), site->wanted_reclaimable) +
          added;
      site->reclaimable_reason = OrderReason::kSubstitute;
      site->reclaimable_need.Add(site->wanted_reclaimable, now);
    }
    missing -= spare + added;
  }
}

void CapacityPlanner::PlanPlain(TimePoint now) {
  double missing = 0;
  bool can_get_cheaper = false;
  for (auto& [name, site] : this->sites) {
    site.wanted_plain = std::max(site.plain.planned(), site.plain_floor);
    site.plain_reason = OrderReason::kUrgentDemand;
    missing += site.basic_need.Get() - site.plain.expected(now) -
               site.reclaimable.expected(now);
    can_get_cheaper =
        can_get_cheaper || (this->HasReclaimable() && this->Room(site) > 0 &&
                            !site.reclaimable.IsUnavailable(now));
  }
  for (Site* site : this->SitesByPrice()) {
    if (can_get_cheaper || missing <= 0) {
      break;
    }
    const int room = this->scaling.max_engines - site->wanted_plain -
                     site->reclaimable.expected(now);
    const int added = std::clamp(CeilOf(missing), 0, std::max(room, 0));
    if (added > 0) {
      site->wanted_plain += added;
      site->plain_reason = OrderReason::kSubstitute;
    }
    missing -= added;
  }
  for (auto& [name, site] : this->sites) {
    const int released = this->ReleasablePlain(site, now);
    if (released > 0) {
      site.wanted_plain = site.plain.planned() - released;
      site.plain_reason =
          this->HasReclaimable() && site.reclaimable.serving() > 0
              ? OrderReason::kReplaced
              : OrderReason::kLessDemand;
    }
  }
}

bool CapacityPlanner::IsUnsettled(TimePoint now) const {
  return this->demand_seen_for < kNeedHold ||
         std::any_of(
             this->sites.begin(), this->sites.end(), [&](const auto& item) {
               const Site& site = item.second;
               return site.reclaimable.IsUnavailable(now) ||
                      now - site.reclaimable.reclaimed_at() < kUnsettledTime;
             });
}

bool CapacityPlanner::IsNewTerm(TimePoint now) const {
  return this->demand_known_for - this->demand_seen_for > kMinKnownTime &&
         now - *this->started_at < this->scaling.boot_time + kTermSettlingTime;
}

int CapacityPlanner::ReleasablePlain(const Site& site, TimePoint now) const {
  const int planned = site.plain.planned();
  const int replaceable =
      site.reclaimable.SteadilyServing(now) + site.added - site.replaced;
  const int step =
      std::min({StepOf(planned), planned - site.plain_floor, replaceable});
  if (step <= 0 || site.wanted_plain > planned || !site.is_demand_known ||
      site.plain.serving() < planned ||
      now - site.plain.lowered_at() < kLowerInterval ||
      now - this->plain_lowered_at < kFleetLowerInterval ||
      this->IsUnsettled(now)) {
    return 0;
  }
  // At the maximum, the cheaper engines in their place can come only after
  // these have left.
  const int max = this->scaling.max_engines;
  const bool is_at_max = site.assigned > max - step;
  if (is_at_max && this->unserved_share > kMaxUnservedShare) {
    return 0;
  }
  const int remaining = planned - step +
                        std::min(site.reclaimable.SteadilyServing(now),
                                 site.reclaimable.planned());
  const int needed = is_at_max ? max - step : site.assigned;
  return remaining >= std::max(needed, this->scaling.min_engines) ? step : 0;
}

int CapacityPlanner::ReleasableReclaimable(const Site& site,
                                           TimePoint now) const {
  const int planned = site.reclaimable.planned();
  const int needed =
      std::max(CeilOf(site.reclaimable_need.Get()), site.wanted_reclaimable);
  const int step =
      std::min({StepOf(planned), planned - needed,
                planned + site.plain.planned() - this->scaling.min_engines});
  if (step <= 0 || !site.is_demand_known ||
      this->demand_seen_for < kReclaimableHold ||
      now - site.reclaimable.lowered_at() < kLowerReclaimableInterval ||
      this->IsUnsettled(now)) {
    return 0;
  }
  return step;
}

std::optional<PlannedChange> CapacityPlanner::NextChange(TimePoint now) const {
  std::vector<PlannedChange> changes;
  for (const auto& [name, site] : this->sites) {
    this->AddRaises(name, site, now, changes);
    this->AddLowerings(name, site, now, changes);
  }
  // Of the same rank, the change that adds the most engines comes first.
  const auto best = std::min_element(
      changes.begin(), changes.end(),
      [](const PlannedChange& a, const PlannedChange& b) {
        return std::pair(a.rank,
                         a.change.previous_count - a.change.engine_count) <
               std::pair(b.rank,
                         b.change.previous_count - b.change.engine_count);
      });
  return best == changes.end() ? std::nullopt : std::optional(*best);
}

void CapacityPlanner::AddRaises(const std::string& name, const Site& site,
                                TimePoint now,
                                std::vector<PlannedChange>& changes) const {
  for (const bool is_reclaimable : {false, true}) {
    const EnginePool& pool = is_reclaimable ? site.reclaimable : site.plain;
    const int wanted =
        is_reclaimable ? site.wanted_reclaimable : site.wanted_plain;
    const int total = std::max(
        pool.planned(), std::min(wanted, pool.planned() + this->Room(site)));
    EngineChange change{
        .data_centre = name,
        .is_reclaimable = is_reclaimable,
        .engine_count = total,
        .previous_count = pool.planned(),
        .reason = is_reclaimable ? site.reclaimable_reason : site.plain_reason};
    const std::optional<RestateReason> restated = pool.DueRestatement(now);
    if (!pool.MayTry(now)) {
      continue;
    }
    if (restated) {
      change.reason = ReasonOf(*restated);
      changes.push_back({*restated == RestateReason::kReclaimed
                             ? ChangeRank::kReplace
                             : ChangeRank::kRestate,
                         std::move(change)});
    } else if (!this->IsNewTerm(now) && IsWorthRaising(pool, total, now)) {
      changes.push_back({is_reclaimable ? ChangeRank::kRaiseReclaimable
                                        : ChangeRank::kRaisePlain,
                         std::move(change)});
    }
  }
}

void CapacityPlanner::AddLowerings(const std::string& name, const Site& site,
                                   TimePoint now,
                                   std::vector<PlannedChange>& changes) const {
  const int plain = site.plain.planned();
  const int reclaimable = site.reclaimable.planned();
  // The platform may reject an order for fewer engines too while it has none of
  // the kind: without the pause, such an order was repeated ten times a second.
  const bool may_order_reclaimable = site.reclaimable.MayTry(now);
  // Cheaper engines that are not to be had leave their places at once, others
  // only to plain ones that the urgent tiers need, or if there are too many.
  const bool has_excess = plain + reclaimable > this->scaling.max_engines;
  const bool is_urgent = site.plain_floor > plain || has_excess;
  const int spare = is_urgent ? StepOf(reclaimable)
                              : reclaimable - site.reclaimable.expected(now);
  const int room_made = std::min({std::max(site.wanted_plain, plain) +
                                      reclaimable - this->scaling.max_engines,
                                  spare, reclaimable});
  const bool is_due =
      !is_urgent || now - site.reclaimable.lowered_at() >= kLowerInterval;
  if (room_made > 0 && is_due && may_order_reclaimable &&
      (site.wanted_plain > plain || has_excess)) {
    changes.push_back({ChangeRank::kMakeRoom,
                       {.data_centre = name,
                        .is_reclaimable = true,
                        .engine_count = reclaimable - room_made,
                        .previous_count = reclaimable,
                        .reason = OrderReason::kMakeRoom}});
  }
  if (site.wanted_plain < plain && site.plain.MayTry(now)) {
    changes.push_back({ChangeRank::kLowerPlain,
                       {.data_centre = name,
                        .engine_count = site.wanted_plain,
                        .previous_count = plain,
                        .reason = site.plain_reason}});
  }
  const int released = this->ReleasableReclaimable(site, now);
  if (released > 0 && may_order_reclaimable) {
    changes.push_back({ChangeRank::kLowerReclaimable,
                       {.data_centre = name,
                        .is_reclaimable = true,
                        .engine_count = reclaimable - released,
                        .previous_count = reclaimable,
                        .reason = OrderReason::kLessDemand}});
  }
}

CapacityPlanner::Site& CapacityPlanner::SiteOf(const EngineChange& change) {
  return this->sites[change.data_centre];
}

EnginePool& CapacityPlanner::PoolOf(const EngineChange& change) {
  Site& site = this->SiteOf(change);
  return change.is_reclaimable ? site.reclaimable : site.plain;
}

void CapacityPlanner::RecordAccepted(const EngineChange& change,
                                     TimePoint now) {
  Site& site = this->SiteOf(change);
  EnginePool& pool = this->PoolOf(change);
  if (!change.is_reclaimable) {
    const int difference = change.engine_count - pool.planned();
    site.added += std::max(difference, 0);
    site.replaced += std::max(-difference, 0);
    if (difference < 0) {
      this->plain_lowered_at = now;
    }
  }
  pool.RecordAccepted(change.engine_count, this->scaling.boot_time, now);
}

void CapacityPlanner::RecordUnavailable(const EngineChange& change,
                                        TimePoint now) {
  this->PoolOf(change).RecordUnavailable(now);
}

void CapacityPlanner::RecordUnknown(const EngineChange& change, TimePoint now) {
  this->PoolOf(change).RecordUnknown(now);
}

std::vector<EngineStatus> CapacityPlanner::Status(TimePoint now) const {
  std::vector<EngineStatus> all;
  for (const auto& [name, site] : this->sites) {
    for (const bool is_reclaimable : {false, true}) {
      const EnginePool& pool = is_reclaimable ? site.reclaimable : site.plain;
      all.push_back({.data_centre = name,
                     .is_reclaimable = is_reclaimable,
                     .wanted = is_reclaimable ? site.wanted_reclaimable
                                              : site.wanted_plain,
                     .ordered = pool.planned(),
                     .serving = pool.serving(),
                     .is_unavailable = pool.IsUnavailable(now)});
    }
  }
  return all;
}

}  // namespace rosemarycove
