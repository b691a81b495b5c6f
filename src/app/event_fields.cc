#include "app/event_fields.h"

#include <cmath>

namespace rosemarycove {
namespace {

// Milliseconds, rounded to whole microseconds.
double RoundedMilliseconds(Duration duration) {
  return std::round(ToSeconds(duration) * 1e6) / 1e3;
}

double RoundToTenth(double value) { return std::round(value * 10) / 10; }

}  // namespace

LogFields ToLogFields(const FinishRequest& finish) {
  return {{"request", finish.id},
          {"customer", finish.customer},
          {"class", finish.class_name},
          {"tier", finish.tier},
          {"outcome", ToString(finish.outcome)},
          {"cause", ToString(finish.cause)},
          {"ran", ToString(finish.execution)},
          {"on_target", finish.on_target},
          {"waited_ms", RoundedMilliseconds(finish.wait_time)},
          {"first_token_ms", RoundedMilliseconds(finish.time_to_first_token)},
          {"whole_ms", RoundedMilliseconds(finish.total_time)},
          {"tokens", finish.tokens},
          {"wasted_tokens", finish.wasted_tokens},
          {"attempts", finish.attempts}};
}

LogFields ToLogFields(const PlacementDecision& decision) {
  const Placement& placement = decision.placement;
  return {{"request", placement.id},
          {"customer", decision.customer},
          {"class", decision.class_name},
          {"tier", placement.tier},
          {"attempt", decision.attempt},
          {"backend", decision.backend},
          {"why", ToString(placement.reason)},
          {"turn", ToString(placement.dequeue_reason)},
          {"late", placement.is_late},
          {"waiting_above", placement.waiting_above},
          {"batch", placement.batch_size},
          {"token_time_ms", RoundToTenth(placement.token_time * 1000)},
          {"expected_tokens", RoundToTenth(placement.expected_tokens)},
          {"waited_ms", RoundedMilliseconds(decision.wait_time)},
          {"asked_by", decision.requested_by},
          {"passed_over", decision.skipped}};
}

}  // namespace rosemarycove
