// Copies of parts of the store.
#include <vector>

#include "store/document_feed.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(seconds(1000));

// Keeps calls until the test answers them.
class HeldStore : public DocumentStore {
 public:
  void ReadAll(Done done) override {
    ++this->whole_calls;
    this->pending = std::move(done);
  }
  void ReadChanges(std::uint64_t, Duration wait, Done done) override {
    this->waits.push_back(wait);
    this->pending = std::move(done);
  }
  [[nodiscard]] bool is_busy() const override {
    return this->pending != nullptr;
  }
  void Cancel() override { this->pending = nullptr; }
  void Tick(TimePoint) override {}

  void Answer(const ReadResult& reading) {
    const Done done = std::exchange(this->pending, nullptr);
    done(reading);
  }
  void Fail() {
    const Done done = std::exchange(this->pending, nullptr);
    done(tl::unexpected(ReadError{.message = "status 503"}));
  }

  int whole_calls = 0;
  std::vector<Duration> waits;

 private:
  Done pending;
};

class CountingListener : public FeedListener {
 public:
  void OnRead(const ReadResult& reading, bool, TimePoint) override {
    this->as_of = reading.as_of_revision;
  }
  void OnStoreUnavailable(const std::string&) override { ++this->lost; }
  void OnStoreAvailable(Duration) override { ++this->regained; }

  std::uint64_t as_of = 0;
  int lost = 0;
  int regained = 0;
};

}  // namespace

TEST_GROUP(DocumentFeed) {
  HeldStore store;
  CountingListener listener;
  DocumentFeed feed{{.max_wait = seconds(25)}, this->store, this->listener};

  void ReadFirst() {
    this->feed.Tick(kStart, {}, {});
    this->store.Answer({.as_of_revision = 5});
    this->feed.Tick(kStart, {}, {});
  }
};

TEST(DocumentFeed, ReadsAllOnceAndThenWaitsForChanges) {
  this->ReadFirst();
  CHECK_EQUAL(1, this->store.whole_calls);
  CHECK_EQUAL(1U, this->store.waits.size());
  CHECK(this->store.waits.at(0) == seconds(25));
  CHECK_EQUAL(5U, this->listener.as_of);
}

TEST(DocumentFeed, AReadingWhoseAnswerIsLostIsBegunAnew) {
  this->ReadFirst();
  // Its answer is lost, and the connection stays open without a sign.
  this->feed.SetMaxWait(milliseconds(1000));
  this->feed.RestartStalledRead(milliseconds(1400),
                                kStart + milliseconds(1300));
  this->feed.Tick(kStart + milliseconds(1300), {}, {});
  CHECK_EQUAL(1U, this->store.waits.size());
  this->feed.RestartStalledRead(milliseconds(1400),
                                kStart + milliseconds(1500));
  this->feed.Tick(kStart + milliseconds(1500), {}, {});
  CHECK_EQUAL(2U, this->store.waits.size());
  CHECK(this->store.waits.at(1) == milliseconds(1000));
  this->store.Answer({.as_of_revision = 9});
  CHECK_EQUAL(9U, this->listener.as_of);
  CHECK_EQUAL(0, this->listener.lost);
}

TEST(DocumentFeed, AStoreThatFailsIsToldOnceAndAskedWithPauses) {
  this->ReadFirst();
  this->store.Fail();
  CHECK_EQUAL(1, this->listener.lost);
  this->feed.Tick(std::chrono::steady_clock::now(), {}, {});
  CHECK(!this->store.is_busy());
  const TimePoint later = std::chrono::steady_clock::now() + seconds(2);
  this->feed.Tick(later, {}, {});
  this->store.Fail();
  this->feed.Tick(later + seconds(2), {}, {});
  this->store.Answer({.as_of_revision = 6});
  CHECK_EQUAL(1, this->listener.lost);
  CHECK_EQUAL(1, this->listener.regained);
}
