#include "core/engine_pool.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// How long an engine must have served before it replaces another.
constexpr Duration kSteadyTime = std::chrono::seconds(10);
// The platform may be without engines of a kind for a while.
constexpr Duration kMinBackoff = std::chrono::seconds(2);
constexpr Duration kMaxBackoff = std::chrono::seconds(10);
// How long a rejection says something, if no order follows.
constexpr Duration kUnavailableTime = std::chrono::seconds(20);
// An engine that crashed may come back by itself, and a new one may be late.
constexpr Duration kMissingMargin = std::chrono::seconds(8);
constexpr Duration kMaxMissingPause = std::chrono::seconds(60);
// A call without a response may be executed up to 6 s later, after newer ones,
// so the total is stated once more after that.
constexpr Duration kLateExecution = std::chrono::seconds(7);
// Time after which more engines than ordered are taken as they are: those that
// were sent away have left by then.
constexpr Duration kMaxExcessTime = std::chrono::seconds(15);

}  // namespace

void EnginePool::Restate(RestateReason reason, TimePoint at) {
  if (!this->restatement || at < this->restatement->first) {
    this->restatement = {at, reason};
  }
}

void EnginePool::Update(std::set<std::string> serving,
                        std::set<std::string> leaving, Duration boot_time,
                        TimePoint now) {
  const bool has_new_leaving = std::any_of(
      leaving.begin(), leaving.end(),
      [&](const std::string& id) { return !this->leaving_ids.contains(id); });
  const bool last_has_left = !this->leaving_ids.empty() && leaving.empty();
  if (this->history.empty()) {
    // What a former holder ordered is not known; what is registered is.
    this->baseline = static_cast<int>(serving.size() + leaving.size());
  }
  this->serving_ids = std::move(serving);
  this->leaving_ids = std::move(leaving);
  this->baseline = std::max(this->baseline, this->serving());
  if (has_new_leaving) {
    this->last_reclaimed_at = now;
  }
  // While the engines still run, the platform may count them, so the total is
  // stated at once and again when they have left.
  if ((has_new_leaving || last_has_left) && this->serving() < this->planned()) {
    this->Restate(RestateReason::kReclaimed, now);
  }
  this->history.emplace_back(now, this->serving());
  while (this->history.size() > 1 &&
         now - this->history[1].first >= kSteadyTime) {
    this->history.pop_front();
  }
  this->UpdateShortfall(boot_time, now);
}

void EnginePool::UpdateShortfall(Duration boot_time, TimePoint now) {
  if (this->serving() >= this->planned()) {
    this->shortfall_since.reset();
    this->shortfall_pause = boot_time + kMissingMargin;
  } else if (!this->shortfall_since) {
    this->shortfall_since = now;
  }
  if (this->shortfall_since &&
      now - std::max(*this->shortfall_since, this->confirmed_at) >=
          this->shortfall_pause) {
    this->Restate(RestateReason::kMissing, now);
  }
  if (this->serving() <= this->planned()) {
    this->excess_since.reset();
  } else if (!this->excess_since) {
    this->excess_since = now;
  }
  // The late execution of a former order, or of another process's.
  if (this->excess_since &&
      now - std::max(*this->excess_since, this->confirmed_at) >=
          kMaxExcessTime) {
    this->ordered = this->serving();
    this->excess_since.reset();
  }
}

int EnginePool::expected(TimePoint now) const {
  const bool is_starting =
      !this->IsUnavailable(now) && this->shortfall_since &&
      now - std::max(*this->shortfall_since, this->confirmed_at) <
          this->shortfall_pause;
  return is_starting ? std::max(this->planned(), this->serving())
                     : std::min(this->planned(), this->serving());
}

int EnginePool::SteadilyServing(TimePoint now) const {
  if (this->history.empty() ||
      now - this->history.front().first < kSteadyTime) {
    return 0;
  }
  return std::min_element(
             this->history.begin(), this->history.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->second;
}

bool EnginePool::IsUnavailable(TimePoint now) const {
  return this->backoff && now < this->next_try_at + kUnavailableTime;
}

bool EnginePool::MayTry(TimePoint now) const {
  return now >= this->next_try_at;
}

std::optional<RestateReason> EnginePool::DueRestatement(TimePoint now) const {
  if (!this->restatement || now < this->restatement->first) {
    return std::nullopt;
  }
  return this->restatement->second;
}

void EnginePool::RecordAccepted(int total, Duration boot_time, TimePoint now) {
  if (total < this->planned()) {
    this->last_lowered_at = now;
  } else if (total > this->planned()) {
    this->last_raised_at = now;
    this->shortfall_pause = boot_time + kMissingMargin;
  } else {
    this->shortfall_pause =
        std::min(2 * this->shortfall_pause, kMaxMissingPause);
  }
  this->ordered = total;
  this->confirmed_at = now;
  this->backoff.reset();
  if (this->restatement && this->restatement->first <= now) {
    this->restatement.reset();
  }
}

void EnginePool::RecordUnavailable(TimePoint now) {
  this->backoff =
      this->backoff ? std::min(2 * *this->backoff, kMaxBackoff) : kMinBackoff;
  this->next_try_at = now + *this->backoff;
  if (this->serving() < this->planned()) {
    this->restatement = {this->next_try_at, RestateReason::kMissing};
  } else if (this->DueRestatement(now)) {
    this->restatement.reset();
  }
}

void EnginePool::RecordUnknown(TimePoint now) {
  this->Restate(RestateReason::kOutcomeUnknown, now + kLateExecution);
}

}  // namespace rosemarycove
