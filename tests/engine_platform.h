// A platform of engines for tests of the planner, and the demand that they
// serve.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/capacity_planner.h"
#include "core/fleet_demand.h"
#include "core/load_ledger.h"

namespace rosemarycove {

inline const std::vector<std::string> kZones = {"north", "south", "west"};
inline const TimePoint kPlatformStart = TimePoint{} + std::chrono::hours(1);

// Boots and removes engines as orders state.
class EnginePlatform {
 public:
  using Pool = std::pair<std::string, bool>;

  explicit EnginePlatform(EngineScaling scaling)
      : scaling(std::move(scaling)) {}

  void AddPlain(const std::string& zone, int count) {
    this->desired[{zone, false}] = count;
    for (int i = 0; i < count; ++i) {
      this->Add({zone, false});
    }
  }
  // Returns whether the order was accepted.
  bool Order(const EngineChange& change, TimePoint now) {
    const Pool pool{change.data_centre, change.is_reclaimable};
    const int live = this->Count(pool) + this->Booting(pool);
    if (this->unavailable.contains(pool) && change.engine_count > live) {
      ++this->rejected;
      return false;
    }
    ++this->accepted;
    this->order_times.push_back(now);
    this->desired[pool] = change.engine_count;
    // Engines that are being taken away count as present if the platform says
    // so.
    const int present = live + (this->counts_leaving ? this->Leaving(pool) : 0);
    for (int i = present; i < change.engine_count; ++i) {
      this->booting.emplace_back(now + this->scaling.boot_time, pool);
    }
    for (int i = live; i > change.engine_count; --i) {
      this->Release(pool, now);
    }
    return true;
  }
  // Takes all cheaper engines of the zone away.
  void Reclaim(const std::string& zone, TimePoint now) {
    for (auto& [id, server] : this->servers) {
      if (server.data_centre == zone && server.is_reclaimable &&
          !server.is_draining) {
        server.is_draining = true;
        server.leaves_in = std::chrono::milliseconds(2500);
        this->gone_at[id] = now + *server.leaves_in;
      }
    }
  }
  // An engine ends without notice, and perhaps comes back.
  void Crash(const Pool& pool, std::optional<Duration> comes_back,
             TimePoint now) {
    for (const auto& [id, server] : this->servers) {
      if (PoolOf(server) == pool && !server.is_draining) {
        if (comes_back) {
          this->booting.emplace_back(now + *comes_back, pool);
        }
        this->servers.erase(id);
        return;
      }
    }
  }
  void Tick(TimePoint now) {
    for (const auto& [at, pool] : std::exchange(this->booting, {})) {
      if (at <= now) {
        this->Add(pool);
      } else {
        this->booting.emplace_back(at, pool);
      }
    }
    std::erase_if(this->servers, [&](const auto& item) {
      const auto gone = this->gone_at.find(item.first);
      return gone != this->gone_at.end() && gone->second <= now;
    });
  }
  [[nodiscard]] int Count(const Pool& pool) const {
    return static_cast<int>(std::count_if(
        this->servers.begin(), this->servers.end(), [&](const auto& item) {
          return PoolOf(item.second) == pool && !item.second.is_draining;
        }));
  }
  [[nodiscard]] int CountAll(bool is_reclaimable) const {
    int all = 0;
    for (const std::string& zone : kZones) {
      all += this->Count({zone, is_reclaimable});
    }
    return all;
  }
  [[nodiscard]] int Desired(const Pool& pool) const {
    const auto found = this->desired.find(pool);
    return found == this->desired.end() ? 0 : found->second;
  }
  [[nodiscard]] int OrdersBetween(TimePoint from, TimePoint to) const {
    return static_cast<int>(
        std::count_if(this->order_times.begin(), this->order_times.end(),
                      [&](TimePoint at) { return at >= from && at < to; }));
  }

  std::map<std::string, RegisteredServer> servers;
  // Pools of which none are to be had.
  std::map<Pool, bool> unavailable;
  bool counts_leaving = false;
  int accepted = 0;
  int rejected = 0;

 private:
  static Pool PoolOf(const RegisteredServer& server) {
    return {server.data_centre, server.is_reclaimable};
  }
  void Add(const Pool& pool) {
    const std::string id = "e" + std::to_string(++this->last_id);
    this->servers[id] = {.id = id,
                         .service = "model",
                         .data_centre = pool.first,
                         .slots = 12,
                         .is_reclaimable = pool.second};
  }
  [[nodiscard]] int Booting(const Pool& pool) const {
    return static_cast<int>(
        std::count_if(this->booting.begin(), this->booting.end(),
                      [&](const auto& item) { return item.second == pool; }));
  }
  [[nodiscard]] int Leaving(const Pool& pool) const {
    return static_cast<int>(std::count_if(
        this->servers.begin(), this->servers.end(), [&](const auto& item) {
          return PoolOf(item.second) == pool && item.second.leaves_in;
        }));
  }
  void Release(const Pool& pool, TimePoint now) {
    for (auto& [id, server] : this->servers) {
      if (PoolOf(server) == pool && !server.is_draining) {
        server.is_draining = true;
        this->gone_at[id] = now + std::chrono::seconds(3);
        return;
      }
    }
  }

  EngineScaling scaling;
  std::map<Pool, int> desired;
  std::vector<std::pair<TimePoint, Pool>> booting;
  std::map<std::string, TimePoint> gone_at;
  std::vector<TimePoint> order_times;
  int last_id = 0;
};

// Runs a planner against the platform, with one instance per zone that reports
// the zone's demand.
class PlannedFleet {
 public:
  explicit PlannedFleet(EngineScaling scaling, int plain_per_zone)
      : platform(scaling), scaling(std::move(scaling)) {
    for (const std::string& zone : kZones) {
      this->platform.AddPlain(zone, plain_per_zone);
    }
  }

  // The demand of a zone at a time since the start; none before `demand_from`.
  std::function<EngineDemand(const std::string&, Duration)> demand =
      [](const std::string&, Duration) { return EngineDemand{}; };
  // Called after each step.
  std::function<void()> check = [] {};
  std::map<std::string, bool> cut_zones;
  // A former release, which doesn't report demand.
  std::map<std::string, bool> old_zones;

  void Run(Duration time) {
    constexpr Duration kStep = std::chrono::milliseconds(250);
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += kStep) {
      this->platform.Tick(this->now);
      this->Report();
      this->planner.Update(
          this->scaling, this->platform.servers,
          this->fleet_demand.Summarize(
              IdHash("model"),
              this->scaling.boot_time + std::chrono::seconds(3), this->now),
          this->now);
      // As many calls as the platform takes.
      if (this->now >= this->next_call) {
        if (const auto change = this->planner.NextChange(this->now)) {
          this->Send(change->change);
          this->next_call = this->now + std::chrono::milliseconds(500);
        }
      }
      this->check();
    }
  }
  // Another instance takes over.
  void ChangeHolder() { this->planner = CapacityPlanner("model"); }
  [[nodiscard]] Duration elapsed() const { return this->now - kPlatformStart; }

  EnginePlatform platform;
  TimePoint now = kPlatformStart;
  std::map<OrderReason, int> orders_by_reason;

 private:
  void Send(const EngineChange& change) {
    ++this->orders_by_reason[change.reason];
    if (this->platform.Order(change, this->now)) {
      this->planner.RecordAccepted(change, this->now);
    } else {
      this->planner.RecordUnavailable(change, this->now);
    }
  }
  void Report() {
    std::vector<std::pair<std::string, std::string>> instances;
    for (const std::string& zone : kZones) {
      instances.emplace_back("i-" + zone, zone);
      if (this->cut_zones.contains(zone) || this->old_zones.contains(zone)) {
        continue;
      }
      EngineDemand reported = this->demand(zone, this->elapsed());
      reported.service_hash = IdHash("model");
      this->fleet_demand.Record("i-" + zone, zone, {reported}, this->now);
    }
    this->fleet_demand.SetFleet(std::move(instances));
    this->fleet_demand.Tick(this->now);
  }

  EngineScaling scaling;
  FleetDemand fleet_demand;
  CapacityPlanner planner{"model"};
  TimePoint next_call = kPlatformStart;
};

}  // namespace rosemarycove
