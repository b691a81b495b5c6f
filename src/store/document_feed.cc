#include "store/document_feed.h"

#include <algorithm>
#include <utility>

#include "core/store_revision.h"
#include "net/clock.h"

namespace rosemarycove {
namespace {

// The delay after a failed call doubles from the minimum to the maximum. An
// outage then costs few calls, and its end is noticed within a second.
constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(1000);

}  // namespace

DocumentFeed::DocumentFeed(DocumentFeedOptions options, DocumentStore& store,
                           FeedListener& listener)
    : options(options), store(store), listener(listener) {}

void DocumentFeed::AdvanceTo(std::uint64_t revision) {
  this->known_era = std::max(this->known_era, EraOf(revision));
  if (!this->needs_all) {
    this->complete_to = std::max(this->complete_to, revision);
  }
}

void DocumentFeed::NoteEra(std::uint64_t era) {
  if (era <= this->known_era) {
    return;
  }
  this->known_era = era;
  this->needs_all = true;
  if (this->store.is_busy()) {
    this->store.Cancel();
  }
}

void DocumentFeed::Tick(TimePoint now, Duration age, Duration delay) {
  this->store.Tick(now);
  const bool is_due = this->needs_all || this->is_overdue ||
                      age >= this->options.refresh_age + delay;
  if (!this->store.is_busy() && is_due && now >= this->next_read_at) {
    this->StartRead(now);
  }
}

void DocumentFeed::SetOverdue(bool overdue) {
  if (overdue && !this->is_overdue && this->awaits_changes &&
      this->store.is_busy()) {
    this->store.Cancel();
  }
  this->is_overdue = overdue;
}

void DocumentFeed::RestartStalledRead(Duration max_duration, TimePoint now) {
  if (this->store.is_busy() && now - this->read_started_at > max_duration) {
    this->store.Cancel();
    this->next_read_at = now;
  }
}

void DocumentFeed::StartRead(TimePoint now) {
  this->read_started_at = now;
  ++this->started_calls;
  this->awaits_changes =
      !this->needs_all && !this->is_overdue && !this->options.always_read_all;
  if (!this->awaits_changes) {
    this->store.ReadAll([this, now](const auto& result) {
      this->HandleResult(result, true, now);
    });
    return;
  }
  this->store.ReadChanges(this->complete_to, this->options.max_wait,
                          [this, now](const auto& result) {
                            this->HandleResult(result, false, now);
                          });
}

void DocumentFeed::HandleResult(
    const tl::expected<ReadResult, ReadError>& result, bool is_complete,
    TimePoint read_at) {
  const TimePoint now = MonotonicNow();
  if (!result) {
    if (result.error().kind == ReadErrorKind::kHistoryGone) {
      this->needs_all = true;
      // One such response is usual. A store that keeps no history at all would
      // otherwise be called without any delay.
      if (++this->history_gone_count > 1) {
        this->BackOff(now);
      }
      return;
    }
    this->HandleFailure(result.error().message, now);
    return;
  }
  if (EraOf(result->as_of_revision) < this->known_era) {
    this->HandleFailure("the response is from before the store's restoration",
                        now);
    return;
  }
  this->known_era = EraOf(result->as_of_revision);
  if (!is_complete) {
    this->history_gone_count = 0;
  }
  if (this->history_gone_count <= 1) {
    this->backoff = {};
  }
  this->needs_all = this->needs_all && !is_complete;
  if (!this->store_available) {
    this->store_available = true;
    this->listener.OnStoreAvailable(now - this->unavailable_since);
  }
  this->complete_to = std::max(this->complete_to, result->as_of_revision);
  this->listener.OnRead(*result, is_complete, read_at);
}

void DocumentFeed::HandleFailure(const std::string& reason, TimePoint now) {
  if (this->store_available) {
    this->store_available = false;
    this->unavailable_since = now;
    this->listener.OnStoreUnavailable(reason);
  }
  this->BackOff(now);
}

void DocumentFeed::BackOff(TimePoint now) {
  this->backoff = this->backoff == Duration{}
                      ? kMinBackoff
                      : std::min(this->backoff * 2, kMaxBackoff);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  this->next_read_at =
      now + FromSeconds(ToSeconds(this->backoff) * jitter(this->random));
}

}  // namespace rosemarycove
