#include "app/engine_orders.h"

#include <fmt/format.h>

#include <algorithm>

#include "app/gateway_observer.h"
#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

constexpr Duration kObservationInterval = std::chrono::milliseconds(250);
constexpr Duration kPlanInterval = std::chrono::milliseconds(250);
// The part of the platform's calls that orders may take; the rest is left to
// the other duties.
constexpr double kCallShare = 0.5;
constexpr Duration kMinThrottlePause = std::chrono::seconds(1);
constexpr Duration kMaxThrottlePause = std::chrono::seconds(8);
// After a call that was not sent, and after one whose outcome is unknown.
constexpr Duration kNotSentPause = std::chrono::milliseconds(500);
constexpr Duration kUnknownPause = std::chrono::seconds(1);
constexpr Duration kReadPause = std::chrono::milliseconds(500);
// Demand that lasts for less than the boot time and this is no reason to order
// engines: they would come when it is over. It includes a second by which the
// measured demand lags.
constexpr Duration kShortDemand = std::chrono::seconds(3);

// Indexed by OrderOutcome.
constexpr std::array<std::string_view, 7> kOutcomeNames = {
    "accepted",  "unavailable", "fenced", "unsettled",
    "throttled", "not_sent",    "unknown"};

std::string_view KindName(bool is_reclaimable) {
  return is_reclaimable ? "reclaimable" : "plain";
}

}  // namespace

std::string_view ToString(OrderOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

EngineOrders::EngineOrders(EngineOrdersOptions options, DutyCalls& calls,
                           LeaseStore& store, EventLog& log)
    : options(std::move(options)), calls(calls), store(store), log(log) {}

bool EngineOrders::IsObservationDue(TimePoint now) const {
  return now - this->observed_at >= kObservationInterval;
}

void EngineOrders::Observe(FleetView observed, TimePoint now) {
  this->observed_at = now;
  this->fleet = std::move(observed);
  std::vector<std::pair<std::string, std::string>> instances =
      this->fleet.other_instances;
  instances.emplace_back(this->options.instance, this->options.data_centre);
  this->demand.SetFleet(std::move(instances));
  this->demand.Record(this->options.instance, this->options.data_centre,
                      this->fleet.own_demand, now);
  this->demand.Tick(now);
}

void EngineOrders::StartTerm(const DutyGrant& grant) {
  this->planners.clear();
  this->token = grant.token;
  this->next_call_at = {};
  this->throttle_pause = {};
}

void EngineOrders::Tick(DutyTenure& tenure, TimePoint now) {
  if (this->in_progress) {
    this->Settle(tenure, now);
  }
  const std::optional<DutyGrant> grant = tenure.Grant(now);
  if (!grant) {
    this->planners.clear();
    this->token.reset();
    return;
  }
  if (this->token != grant->token) {
    this->StartTerm(*grant);
  }
  if (!this->fleet.configuration || this->fleet.servers == nullptr) {
    return;
  }
  if (now - this->planned_at >= kPlanInterval) {
    this->planned_at = now;
    this->UpdatePlanners(now);
  }
  if (!this->in_progress && now >= this->next_call_at &&
      !this->calls.is_busy()) {
    this->SendNext(*grant, now);
  }
}

void EngineOrders::UpdatePlanners(TimePoint now) {
  std::erase_if(this->planners, [&](const auto& item) {
    const RoutedService* service =
        this->fleet.configuration->FindService(item.first);
    return service == nullptr || !service->scaling;
  });
  for (const RoutedService& service : this->fleet.configuration->services) {
    if (!service.scaling) {
      continue;
    }
    this->planners.try_emplace(service.name, service.name)
        .first->second.Update(
            *service.scaling, *this->fleet.servers,
            this->demand.Summarize(IdHash(service.name),
                                   service.scaling->boot_time + kShortDemand,
                                   now),
            now);
  }
}

void EngineOrders::SendNext(const DutyGrant& grant, TimePoint now) {
  std::optional<std::pair<std::string, PlannedChange>> best;
  for (const auto& [service, planner] : this->planners) {
    const std::optional<PlannedChange> change = planner.NextChange(now);
    if (change && (!best || change->rank < best->second.rank)) {
      best = {service, *change};
    }
  }
  if (best) {
    this->Send(grant, best->first, best->second.change, now);
  }
}

void EngineOrders::Send(const DutyGrant& grant, const std::string& service,
                        const EngineChange& change, TimePoint now) {
  const double calls_per_second =
      std::max(kCallShare * this->options.calls_per_second, 0.1);
  this->next_call_at = now + FromSeconds(1 / calls_per_second);
  this->log.Write(LogEvent::kEnginesOrdered,
                  {{"service", service},
                   {"data_centre", change.data_centre},
                   {"kind", KindName(change.is_reclaimable)},
                   {"engines", change.engine_count},
                   {"before", change.previous_count},
                   {"why", ToString(change.reason)},
                   {"token", grant.token}});
  this->in_progress = Sent{
      .grant = grant, .service = service, .change = change, .sent_at = now};
  const std::weak_ptr<bool> guard = this->lifetime;
  this->calls.SendOrder(grant,
                        {.service = service,
                         .data_centre = change.data_centre,
                         .engine_count = change.engine_count,
                         .is_reclaimable = change.is_reclaimable},
                        [this, guard](DutyCallResult result) {
                          if (!guard.expired() && this->in_progress) {
                            this->in_progress->result = result;
                          }
                        });
}

void EngineOrders::Settle(DutyTenure& tenure, TimePoint now) {
  if (!this->in_progress->result) {
    // The owner of the calls may have cancelled this one, without a response.
    if (!this->calls.is_busy()) {
      this->Finish(OrderOutcome::kUnknown, now);
    }
    return;
  }
  switch (*this->in_progress->result) {
    case DutyCallResult::kAccepted:
      this->Finish(OrderOutcome::kAccepted, now);
      return;
    case DutyCallResult::kRejected:
      this->SettleRejection(tenure, now);
      return;
    case DutyCallResult::kThrottled:
      this->Finish(OrderOutcome::kThrottled, now);
      return;
    case DutyCallResult::kNotSent:
      this->Finish(OrderOutcome::kNotSent, now);
      return;
    case DutyCallResult::kUnknown:
      this->Finish(OrderOutcome::kUnknown, now);
      return;
  }
}

void EngineOrders::SettleRejection(DutyTenure& tenure, TimePoint now) {
  Sent& order = *this->in_progress;
  if (order.claim && *order.claim) {
    if ((*order.claim)->revision == order.grant.claim_revision) {
      this->Finish(OrderOutcome::kUnavailable, now);
    } else {
      const std::uint64_t fenced = order.grant.token;
      this->Finish(OrderOutcome::kFenced, now);
      tenure.OnFenced(fenced, now);
    }
    return;
  }
  const std::optional<DutyGrant> grant = tenure.Grant(now);
  if (!grant || grant->token != order.grant.token) {
    this->Finish(OrderOutcome::kUnsettled, now);
    return;
  }
  if (order.claim) {
    order.claim.reset();
    order.is_reading = false;
    order.next_read_at = now + kReadPause;
  }
  if (this->store.is_busy()) {
    return;
  }
  // A read of this order that is no longer in progress was cancelled.
  order.is_reading = false;
  if (now < order.next_read_at) {
    return;
  }
  order.is_reading = true;
  const std::weak_ptr<bool> guard = this->lifetime;
  this->store.Read(
      order.grant.claim_key,
      [this, guard](tl::expected<StoreItem, LeaseStoreError> item) {
        if (!guard.expired() && this->in_progress &&
            this->in_progress->is_reading) {
          this->in_progress->claim = std::move(item);
        }
      });
}

void EngineOrders::Finish(OrderOutcome outcome, TimePoint now) {
  const Sent order = *std::exchange(this->in_progress, std::nullopt);
  ++this->outcome_counts.at(static_cast<std::size_t>(outcome));
  this->log.Write(LogEvent::kEngineOrderEnded,
                  {{"service", order.service},
                   {"data_centre", order.change.data_centre},
                   {"kind", KindName(order.change.is_reclaimable)},
                   {"engines", order.change.engine_count},
                   {"outcome", ToString(outcome)},
                   {"took_ms", ToLogMilliseconds(now - order.sent_at)}});
  Duration pause{};
  switch (outcome) {
    case OrderOutcome::kThrottled:
      this->throttle_pause = std::clamp(2 * this->throttle_pause,
                                        kMinThrottlePause, kMaxThrottlePause);
      pause = this->throttle_pause;
      break;
    case OrderOutcome::kNotSent:
      pause = kNotSentPause;
      break;
    case OrderOutcome::kUnknown:
      pause = kUnknownPause;
      break;
    default:
      this->throttle_pause = {};
      break;
  }
  this->next_call_at = std::max(this->next_call_at, now + pause);
  // An order of a former term says nothing to the planner of this one.
  const auto planner = this->planners.find(order.service);
  if (planner == this->planners.end() || this->token != order.grant.token) {
    return;
  }
  if (outcome == OrderOutcome::kAccepted) {
    planner->second.RecordAccepted(order.change, now);
  } else if (outcome == OrderOutcome::kUnavailable) {
    planner->second.RecordUnavailable(order.change, now);
  } else if (outcome == OrderOutcome::kUnknown) {
    planner->second.RecordUnknown(order.change, now);
  }
  this->UpdatePlanners(now);
}

void EngineOrders::AppendMetrics(std::string& text, TimePoint now) const {
  text += "# TYPE rosemarycove_engine_orders_total counter\n";
  for (std::size_t i = 0; i < this->outcome_counts.size(); ++i) {
    text +=
        fmt::format("rosemarycove_engine_orders_total{{outcome=\"{}\"}} {}\n",
                    kOutcomeNames.at(i), this->outcome_counts.at(i));
  }
  if (this->planners.empty()) {
    return;
  }
  const auto append = [&](const char* name, int EngineStatus::*value) {
    text += fmt::format("# TYPE {} gauge\n", name);
    for (const auto& [service, planner] : this->planners) {
      for (const EngineStatus& status : planner.Status(now)) {
        text += fmt::format(
            "{}{{service=\"{}\",data_centre=\"{}\",kind=\"{}\"}} {}\n", name,
            service, status.data_centre, KindName(status.is_reclaimable),
            status.*value);
      }
    }
  };
  append("rosemarycove_engines_wanted", &EngineStatus::wanted);
  append("rosemarycove_engines_ordered", &EngineStatus::ordered);
  append("rosemarycove_engines_serving", &EngineStatus::serving);
}

}  // namespace rosemarycove
