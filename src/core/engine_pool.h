// The engines of one kind that a service has in one data centre, and what was
// ordered of them.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "core/types.h"

namespace rosemarycove {

// Why an order's total is sent again although it did not change.
enum class RestateReason : std::uint8_t {
  kReclaimed,       // The platform takes engines away.
  kMissing,         // Engines that were ordered don't come, or are gone.
  kOutcomeUnknown,  // The outcome of an order is not known.
};

// Part of CapacityPlanner.
class EnginePool {
 public:
  // Updates the registered engines: the ids of those that serve, and of those
  // that the platform said it takes away.
  void Update(std::set<std::string> serving, std::set<std::string> leaving,
              Duration boot_time, TimePoint now);

  // The total that holds: that of the last order, or the engines that were
  // registered if there was none.
  [[nodiscard]] int planned() const {
    return this->ordered.value_or(this->baseline);
  }
  [[nodiscard]] int serving() const {
    return static_cast<int>(this->serving_ids.size());
  }
  // The engines on which requests can count: those that serve, or that are
  // being started.
  [[nodiscard]] int expected(TimePoint now) const;
  // The fewest engines that served at any time of the last seconds.
  [[nodiscard]] int SteadilyServing(TimePoint now) const;
  // The platform had no engines of the kind at the last try, which was not long
  // ago.
  [[nodiscard]] bool IsUnavailable(TimePoint now) const;
  // An order that adds engines, or restates a total, may be tried now.
  [[nodiscard]] bool MayTry(TimePoint now) const;
  // Why the total must be sent again now; nullopt if it need not be.
  [[nodiscard]] std::optional<RestateReason> DueRestatement(
      TimePoint now) const;
  // When the last order was accepted that lowered or raised the total.
  [[nodiscard]] TimePoint lowered_at() const { return this->last_lowered_at; }
  [[nodiscard]] TimePoint raised_at() const { return this->last_raised_at; }
  // When engines were last taken away.
  [[nodiscard]] TimePoint reclaimed_at() const {
    return this->last_reclaimed_at;
  }

  void RecordAccepted(int total, Duration boot_time, TimePoint now);
  // The platform has none of the kind.
  void RecordUnavailable(TimePoint now);
  // The order may have been executed, or may be executed later.
  void RecordUnknown(TimePoint now);

 private:
  void Restate(RestateReason reason, TimePoint at);
  void UpdateShortfall(Duration boot_time, TimePoint now);

  std::set<std::string> serving_ids;
  // Engines that the platform takes away.
  std::set<std::string> leaving_ids;
  // The total of the last order that was accepted.
  std::optional<int> ordered;
  int baseline = 0;
  // When the total is to be sent again, and why.
  std::optional<std::pair<TimePoint, RestateReason>> restatement;
  // The time until the next try after an order that was rejected; nullopt if
  // the last one was not.
  std::optional<Duration> backoff;
  TimePoint next_try_at;
  // Since when fewer engines serve than planned, or more; nullopt if neither.
  std::optional<TimePoint> shortfall_since;
  std::optional<TimePoint> excess_since;
  // The pause until missing engines are ordered again; it doubles.
  Duration shortfall_pause{};
  TimePoint confirmed_at;
  TimePoint last_lowered_at;
  TimePoint last_raised_at;
  TimePoint last_reclaimed_at;
  // Counts of serving engines, by time.
  std::deque<std::pair<TimePoint, int>> history;
};

}  // namespace rosemarycove
