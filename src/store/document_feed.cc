#include "store/document_feed.h"

#include <algorithm>
#include <utility>

namespace rosemarycove {
namespace {

// The pause after a failed call doubles between these: an outage costs few
// calls, and its end is noticed within a fraction of a second more.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(1000);

}  // namespace

DocumentFeed::DocumentFeed(DocumentFeedOptions options, DocumentStore& store,
                           FeedListener& listener)
    : options(options), store(store), listener(listener) {}

void DocumentFeed::AdvanceTo(std::uint64_t revision) {
  if (!this->needs_all) {
    this->known_to = std::max(this->known_to, revision);
  }
}

void DocumentFeed::Tick(TimePoint now, Duration age, Duration delay) {
  this->store.Tick(now);
  const bool due = this->needs_all || this->options.refresh_age == Duration{} ||
                   age >= this->options.refresh_age + delay;
  if (!this->store.is_busy() && due && now >= this->next_try) {
    this->Begin(now);
  }
}

void DocumentFeed::RestartStalledRead(Duration longest, TimePoint now) {
  if (this->store.is_busy() && now - this->began > longest) {
    this->store.Cancel();
    this->next_try = now;
  }
}

void DocumentFeed::Begin(TimePoint now) {
  this->began = now;
  ++this->started_calls;
  if (this->needs_all || this->options.always_read_all) {
    this->store.ReadAll(
        [this, now](const auto& result) { this->Take(result, true, now); });
    return;
  }
  this->store.ReadChanges(
      this->known_to, this->options.max_wait,
      [this, now](const auto& result) { this->Take(result, false, now); });
}

void DocumentFeed::Take(const tl::expected<ReadResult, ReadError>& result,
                        bool whole, TimePoint read_at) {
  const TimePoint now = std::chrono::steady_clock::now();
  if (!result) {
    if (result.error().kind == ReadErrorKind::kHistoryGone) {
      this->needs_all = true;
      // Once is usual; a store that has no history at all must not be asked
      // without a pause.
      if (++this->gone_in_row > 1) {
        this->BackOff(now);
      }
      return;
    }
    this->Fail(result.error().message, now);
    return;
  }
  if (!whole) {
    this->gone_in_row = 0;
  }
  if (this->gone_in_row <= 1) {
    this->backoff = {};
  }
  this->needs_all = this->needs_all && !whole;
  if (!this->store_available) {
    this->store_available = true;
    this->listener.OnStoreAvailable(now - this->lost_at);
  }
  this->known_to = std::max(this->known_to, result->as_of_revision);
  this->listener.OnRead(*result, whole, read_at);
}

void DocumentFeed::Fail(const std::string& why, TimePoint now) {
  if (this->store_available) {
    this->store_available = false;
    this->lost_at = now;
    this->listener.OnStoreUnavailable(why);
  }
  this->BackOff(now);
}

void DocumentFeed::BackOff(TimePoint now) {
  this->backoff = this->backoff == Duration{}
                      ? kFirstBackoff
                      : std::min(this->backoff * 2, kLongestBackoff);
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  this->next_try =
      now + FromSeconds(ToSeconds(this->backoff) * spread(this->random));
}

}  // namespace rosemarycove
