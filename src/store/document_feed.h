// Keeps a copy of one part of the platform's store up to date.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "core/types.h"
#include "store/document_store.h"

namespace rosemarycove {

struct DocumentFeedOptions {
  // How long a read waits for a change.
  Duration max_wait = std::chrono::seconds(30);
  // A read starts when the copy has reached this age.
  Duration refresh_age{};
  // Read all documents each time, not only the changes. A list of changes may
  // lack some that the store has not sent to its watchers yet, and either read
  // costs one call.
  bool always_read_all = false;
};

// Receives the results of a feed.
class FeedListener {
 public:
  virtual ~FeedListener() = default;
  // `is_complete`: the result contains all documents, not only the changes.
  virtual void OnRead(const ReadResult& result, bool is_complete,
                      TimePoint read_at) = 0;
  virtual void OnStoreUnavailable(const std::string& reason) = 0;
  // `outage`: how long the store was unavailable.
  virtual void OnStoreAvailable(Duration outage) = 0;
};

// Reads all documents once and then the changes; reads all documents again when
// the store has dropped the history of changes. Retries a failed call with
// exponential backoff and jitter. Used on the event loop.
class DocumentFeed {
 public:
  DocumentFeed(DocumentFeedOptions options, DocumentStore& store,
               FeedListener& listener);

  // Starts a read if one is due. `age` is the age of the copy, which other
  // sources may refresh too; `delay` is added to the refresh age.
  void Tick(TimePoint now, Duration age, Duration delay);
  // Sets how long later reads wait for a change.
  void SetMaxWait(Duration max_wait) { this->options.max_wait = max_wait; }
  // Sets whether the copy is too old to wait for changes. While it is, all
  // documents are read at once, also in place of a wait that may never end.
  void SetOverdue(bool overdue);
  // Restarts a read that has run for longer than `max_duration`, since its
  // response may be lost. To be called when the store is known to respond.
  void RestartStalledRead(Duration max_duration, TimePoint now);
  // Notes that another source has completed the copy up to this revision.
  void AdvanceTo(std::uint64_t revision);
  // Notes that the store has come back from a copy, since another source has
  // seen this era of it (EraOf). In a new era, a read that waits for changes
  // may wait for revisions that are given out much later: it is cancelled, and
  // all documents are read.
  void NoteEra(std::uint64_t era);
  // The latest known era of the store.
  [[nodiscard]] std::uint64_t era() const { return this->known_era; }
  [[nodiscard]] bool is_store_available() const {
    return this->store_available;
  }
  // The number of calls to the store so far.
  [[nodiscard]] std::uint64_t call_count() const { return this->started_calls; }

 private:
  void StartRead(TimePoint now);
  void HandleResult(const tl::expected<ReadResult, ReadError>& result,
                    bool is_complete, TimePoint read_at);
  void HandleFailure(const std::string& reason, TimePoint now);
  // Delays the next call, by a longer time after each failure.
  void BackOff(TimePoint now);

  DocumentFeedOptions options;
  DocumentStore& store;
  FeedListener& listener;
  // The copy contains every change up to this revision.
  std::uint64_t complete_to = 0;
  std::uint64_t known_era = 0;
  // Nothing has been read yet, or the store has dropped the history.
  bool needs_all = true;
  bool store_available = true;
  bool is_overdue = false;
  // The read that is under way waits for changes.
  bool awaits_changes = false;
  TimePoint unavailable_since;
  TimePoint read_started_at;
  TimePoint next_read_at;
  Duration backoff{};
  // The number of consecutive reads for which the store had no history.
  int history_gone_count = 0;
  std::uint64_t started_calls = 0;
  std::mt19937_64 random{std::random_device()()};
};

}  // namespace rosemarycove
