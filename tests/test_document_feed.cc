// Tests of the feed that keeps a copy of a part of the store.
#include <vector>

#include "net/clock.h"
#include "store/document_feed.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));

// Keeps each call pending until the test responds to it.
class PendingStore : public DocumentStore {
 public:
  void ReadAll(Done done) override {
    ++this->read_all_calls;
    this->pending = std::move(done);
  }
  void ReadChanges(std::uint64_t, Duration max_wait, Done done) override {
    this->max_waits.push_back(max_wait);
    this->pending = std::move(done);
  }
  [[nodiscard]] bool is_busy() const override {
    return this->pending != nullptr;
  }
  void Cancel() override { this->pending = nullptr; }
  void Tick(TimePoint) override {}

  void Respond(const ReadResult& result) {
    const Done done = std::exchange(this->pending, nullptr);
    done(result);
  }
  void Fail() {
    const Done done = std::exchange(this->pending, nullptr);
    done(tl::unexpected(ReadError{.message = "status 503"}));
  }

  int read_all_calls = 0;
  std::vector<Duration> max_waits;

 private:
  Done pending;
};

class CountingListener : public FeedListener {
 public:
  void OnRead(const ReadResult& result, bool, TimePoint) override {
    this->as_of_revision = result.as_of_revision;
  }
  void OnStoreUnavailable(const std::string&) override {
    ++this->unavailable_count;
  }
  void OnStoreAvailable(Duration) override { ++this->available_count; }

  std::uint64_t as_of_revision = 0;
  int unavailable_count = 0;
  int available_count = 0;
};

}  // namespace

TEST_GROUP(DocumentFeed) {
  PendingStore store;
  CountingListener listener;
  DocumentFeed feed{{.max_wait = seconds(25)}, this->store, this->listener};

  void CompleteFirstRead() {
    this->feed.Tick(kStart, {}, {});
    this->store.Respond({.as_of_revision = 5});
    this->feed.Tick(kStart, {}, {});
  }
};

TEST(DocumentFeed, ReadsAllDocumentsOnceAndThenWaitsForChanges) {
  this->CompleteFirstRead();
  CHECK_EQUAL(1, this->store.read_all_calls);
  CHECK_EQUAL(1U, this->store.max_waits.size());
  CHECK(this->store.max_waits.at(0) == seconds(25));
  CHECK_EQUAL(5U, this->listener.as_of_revision);
}

TEST(DocumentFeed, RestartsAReadWhoseResponseIsLost) {
  this->CompleteFirstRead();
  // The response is lost, and the connection stays open without an error.
  this->feed.SetMaxWait(milliseconds(1000));
  this->feed.RestartStalledRead(milliseconds(1400),
                                kStart + milliseconds(1300));
  this->feed.Tick(kStart + milliseconds(1300), {}, {});
  CHECK_EQUAL(1U, this->store.max_waits.size());
  this->feed.RestartStalledRead(milliseconds(1400),
                                kStart + milliseconds(1500));
  this->feed.Tick(kStart + milliseconds(1500), {}, {});
  CHECK_EQUAL(2U, this->store.max_waits.size());
  CHECK(this->store.max_waits.at(1) == milliseconds(1000));
  this->store.Respond({.as_of_revision = 9});
  CHECK_EQUAL(9U, this->listener.as_of_revision);
  CHECK_EQUAL(0, this->listener.unavailable_count);
}

TEST(DocumentFeed, ReportsAnOutageOnceAndRetriesWithBackoff) {
  this->CompleteFirstRead();
  this->store.Fail();
  CHECK_EQUAL(1, this->listener.unavailable_count);
  this->feed.Tick(MonotonicNow(), {}, {});
  CHECK(!this->store.is_busy());
  const TimePoint later = MonotonicNow() + seconds(2);
  this->feed.Tick(later, {}, {});
  this->store.Fail();
  this->feed.Tick(later + seconds(2), {}, {});
  this->store.Respond({.as_of_revision = 6});
  CHECK_EQUAL(1, this->listener.unavailable_count);
  CHECK_EQUAL(1, this->listener.available_count);
}
