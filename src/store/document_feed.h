// Keeps a copy of one part of the platform's store up to date.
#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "core/types.h"
#include "store/document_store.h"

namespace rosemarycove {

// How a feed reads.
struct DocumentFeedOptions {
  // How long a reading waits for a change.
  Duration max_wait = std::chrono::seconds(30);
  // A reading may begin when the copy is at least this old; zero reads on
  // without a pause.
  Duration refresh_age{};
  // Reads everything each time: a list of changes may lack some that the store
  // has not told its watchers yet, and both cost one call.
  bool always_read_all = false;
};

// Takes what a feed brings.
class FeedListener {
 public:
  virtual ~FeedListener() = default;
  // `whole`: the reading names every document there is.
  virtual void OnRead(const ReadResult& reading, bool whole,
                      TimePoint read_at) = 0;
  virtual void OnStoreUnavailable(const std::string& why) = 0;
  virtual void OnStoreAvailable(Duration away) = 0;
};

// Reads everything once, then the changes, and everything anew when the store
// dropped its history. Backs off with a spread while the store fails.
class DocumentFeed {
 public:
  DocumentFeed(DocumentFeedOptions options, DocumentStore& store,
               FeedListener& listener);

  // Begins a reading when one is due. `age` is that of the copy, which may
  // have been refreshed by others; `delay` is added to the pause.
  void Tick(TimePoint now, Duration age, Duration delay);
  // How long later readings wait for a change.
  void SetMaxWait(Duration max_wait) { this->options.max_wait = max_wait; }
  // The store answers now: a reading that began longer ago than this is begun
  // anew, since its answer may be lost.
  void RestartStalledRead(Duration longest, TimePoint now);
  // The copy is complete up to this revision by other means.
  void AdvanceTo(std::uint64_t revision);
  [[nodiscard]] bool is_store_available() const {
    return this->store_available;
  }
  [[nodiscard]] std::uint64_t call_count() const { return this->started_calls; }

 private:
  void Begin(TimePoint now);
  void Take(const tl::expected<ReadResult, ReadError>& result, bool whole,
            TimePoint read_at);
  void Fail(const std::string& why, TimePoint now);
  // Puts the next call off; longer each time.
  void BackOff(TimePoint now);

  DocumentFeedOptions options;
  DocumentStore& store;
  FeedListener& listener;
  std::uint64_t known_to = 0;
  // Nothing was read yet, or the store dropped its history.
  bool needs_all = true;
  bool store_available = true;
  TimePoint lost_at;
  TimePoint began;
  TimePoint next_try;
  Duration backoff{};
  // Times in a row that the history asked for was gone.
  int gone_in_row = 0;
  std::uint64_t started_calls = 0;
  std::mt19937_64 random{std::random_device()()};
};

}  // namespace rosemarycove
