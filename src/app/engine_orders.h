// Orders engines at the platform for the whole fleet.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "app/event_log.h"
#include "core/backend_directory.h"
#include "core/capacity_planner.h"
#include "core/duty_grant.h"
#include "core/engine_demand.h"
#include "core/fleet_demand.h"
#include "core/routing_configuration.h"
#include "core/types.h"
#include "store/duty_calls.h"
#include "store/lease_store.h"

namespace rosemarycove {

struct EngineOrdersOptions {
  std::string instance;
  std::string data_centre;
  // Calls per second that the platform accepts from all instances together, for
  // all duties.
  double calls_per_second = 2;
};

// What this instance knows of the fleet.
struct FleetView {
  // Null if there is none.
  std::shared_ptr<const RoutingConfiguration> configuration;
  // By id; null before the directory was read. Must outlive the EngineOrders.
  const std::map<std::string, RegisteredServer>* servers = nullptr;
  // The other instances that may send requests, with their data centres.
  std::vector<std::pair<std::string, std::string>> other_instances;
  // The demand of this instance.
  std::vector<EngineDemand> own_demand;
};

// What became of an order.
enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kUnavailable,  // The platform has none of the kind.
  kFenced,       // The platform has seen a higher token.
  kUnsettled,    // Rejected, and the reason couldn't be found out.
  kThrottled,
  kNotSent,
  kUnknown,
};

// Returns the word that logs and metrics use.
std::string_view ToString(OrderOutcome outcome);

// While this instance holds the duty, sends the orders that a CapacityPlanner
// plans for each service, one at a time. Every instance collects the reported
// demand, so that a new holder knows it already. All state is of one term: a
// new holder starts from the engines that are registered.
class EngineOrders : public DutyTask {
 public:
  // The references must outlive this object. `calls` and `store` are ticked by
  // their owner, and shared with other tasks.
  EngineOrders(EngineOrdersOptions options, DutyCalls& calls, LeaseStore& store,
               EventLog& log);

  // Returns whether Observe should be called.
  [[nodiscard]] bool IsObservationDue(TimePoint now) const;
  void Observe(FleetView fleet, TimePoint now);
  // Records the demand that another instance reported.
  void RecordReport(const std::string& instance, const std::string& data_centre,
                    const std::vector<EngineDemand>& demand, TimePoint now) {
    this->demand.Record(instance, data_centre, demand, now);
  }
  // The process of another instance has ended.
  void RemoveInstance(const std::string& instance) {
    this->demand.Remove(instance);
  }

  // DutyTask
  void Tick(DutyTenure& tenure, TimePoint now) override;
  [[nodiscard]] bool is_idle() const override {
    return !this->in_progress.has_value();
  }

  // Appends the metrics in the Prometheus text format. Wanted engines are known
  // to the holder only.
  void AppendMetrics(std::string& text, TimePoint now) const;

 private:
  // An order that was sent and has no outcome yet.
  struct Sent {
    DutyGrant grant;
    std::string service;
    EngineChange change;
    TimePoint sent_at;
    // The response; nullopt before it arrived.
    std::optional<DutyCallResult> result;
    // A rejected order: the claim's key is read, and what it says.
    bool is_reading = false;
    std::optional<tl::expected<StoreItem, LeaseStoreError>> claim;
    TimePoint next_read_at;
  };

  // Forgets what belongs to another term.
  void StartTerm(const DutyGrant& grant);
  void UpdatePlanners(TimePoint now);
  void SendNext(const DutyGrant& grant, TimePoint now);
  void Send(const DutyGrant& grant, const std::string& service,
            const EngineChange& change, TimePoint now);
  // Advances the order in progress.
  void Settle(DutyTenure& tenure, TimePoint now);
  // Finds out why the order was rejected.
  void SettleRejection(DutyTenure& tenure, TimePoint now);
  void Finish(OrderOutcome outcome, TimePoint now);

  EngineOrdersOptions options;
  DutyCalls& calls;
  LeaseStore& store;
  EventLog& log;
  FleetView fleet;
  FleetDemand demand;
  // By service; empty while this instance doesn't hold the duty.
  std::map<std::string, CapacityPlanner> planners;
  // The token of the term.
  std::optional<std::uint64_t> token;
  std::optional<Sent> in_progress;
  // Callbacks of calls that are in progress when this object ends have no
  // effect.
  std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
  TimePoint observed_at;
  TimePoint planned_at;
  TimePoint next_call_at;
  // The pause after a call that the platform throttled; it doubles.
  Duration throttle_pause{};
  // Indexed by OrderOutcome.
  std::array<std::uint64_t, 7> outcome_counts{};
};

}  // namespace rosemarycove
