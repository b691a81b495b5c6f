// Tests of the budget of bytes that callers and servers make a process hold.
#include <rapidcheck.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "proxy/body_budget.h"
#include "proxy/http_reader.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBudget = std::size_t{16} << 20U;
constexpr std::size_t kBody = std::size_t{1} << 20U;
constexpr std::size_t kPiece = std::size_t{16} << 10U;
constexpr milliseconds kTick{50};

// A caller that sends a body.
class Sender : public BudgetHolder {
 public:
  Sender(BodyBudget& budget, const std::string& customer, TimePoint now,
         std::size_t stops_at = kBody)
      : account(budget, *this, now), stops_at(stops_at) {
    this->account.BeginBody(customer, kBody, now);
  }
  [[nodiscard]] bool ExpectsProgress() const override {
    return !this->is_done();
  }
  void OnRoomAvailable() override {}
  void OnStopped(BudgetCause cause) override { this->End(cause); }
  // Has one more piece read, if that is allowed.
  void SendPiece(TimePoint now) {
    if (this->is_done() || this->read >= this->stops_at) {
      return;
    }
    const ReadDecision decision = this->account.MayRead(now);
    if (decision == ReadDecision::kRefuse) {
      this->End(BudgetCause::kTooManyWaiting);
    }
    if (decision != ReadDecision::kRead) {
      return;
    }
    this->read += kPiece;
    this->account.SetHeld(this->read);
    this->account.RecordProgress(kPiece);
    if (this->read >= kBody) {
      this->is_complete = true;
      this->account.EndBody();
      this->account.SetHeld(0);
    }
  }
  [[nodiscard]] bool is_done() const {
    return this->is_complete || this->cause.has_value();
  }

  BudgetAccount account;
  std::size_t stops_at;
  std::size_t read = 0;
  bool is_complete = false;
  std::optional<BudgetCause> cause;

 private:
  void End(BudgetCause end_cause) {
    this->cause = end_cause;
    this->account.SetHeld(0);
  }
};

// Has all send for this time; each sends up to `pieces` in a tick. Returns the
// most that was held.
std::size_t Run(BodyBudget& budget, std::vector<std::unique_ptr<Sender>>& all,
                TimePoint& now, Duration time, int pieces = 8) {
  std::size_t peak = 0;
  for (const TimePoint end = now + time; now < end; now += kTick) {
    for (int i = 0; i < pieces; ++i) {
      for (const auto& sender : all) {
        sender->SendPiece(now);
        peak = std::max(peak, budget.held_bytes());
      }
    }
    budget.Tick(now);
  }
  return peak;
}

constexpr RequestLimits kLimits{.max_header_bytes = 16384,
                                .max_body_bytes = 65536};

// Reads a chunked request of which this follows the head, in pieces as they
// come from a socket. Returns its status: 0 if it is complete, -1 if more is
// needed.
int ReadChunked(const std::string& after_head) {
  RequestReader reader(kLimits);
  std::string bytes =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  RequestReader::Progress progress = reader.Feed(bytes);
  for (std::size_t at = 0; at < after_head.size(); at += kPiece) {
    bytes += after_head.substr(at, kPiece);
    progress = reader.Feed(bytes);
    if (progress == RequestReader::Progress::kRejected) {
      return reader.rejection_status();
    }
  }
  return progress == RequestReader::Progress::kComplete ? 0 : -1;
}

std::string Repeated(const std::string& text, std::size_t count) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i) {
    all += text;
  }
  return all;
}

}  // namespace

TEST_GROUP(ChunkedRequests){};

// Guards against a limit that a legal request reaches.
TEST(ChunkedRequests, LargestBodyInChunksOfOneByteIsRead) {
  CHECK_EQUAL(0, ReadChunked(Repeated("1\r\nx\r\n", kLimits.max_body_bytes) +
                             "0\r\n\r\n"));
}

TEST(ChunkedRequests, TrailersOfTheSizeOfAHeadAreRead) {
  const std::string field = "X-Field: " + std::string(87, 'x') + "\r\n";
  CHECK_EQUAL(0, ReadChunked("0\r\n" + Repeated(field, 160) + "\r\n"));
}

// Guards against framing without an end.
TEST(ChunkedRequests, EndlessTrailersAreRejected) {
  CHECK_EQUAL(431, ReadChunked("0\r\n" + Repeated("X-Field: x\r\n", 10000)));
  CHECK_EQUAL(431, ReadChunked("0\r\nX-Field: " + std::string(100000, 'x')));
}

TEST(ChunkedRequests, EndlessChunkExtensionsAreRejected) {
  CHECK_EQUAL(431, ReadChunked("1;" + std::string(100000, 'x')));
  CHECK_EQUAL(400, ReadChunked(Repeated(
                       "1;" + std::string(1000, 'x') + "\r\nx\r\n", 1000)));
}

TEST_GROUP(BodyBudget) {
  BodyBudget budget{kBudget};
  TimePoint now{std::chrono::hours(1)};
  std::vector<std::unique_ptr<Sender>> senders;

  void Add(int count, const std::string& customer,
           std::size_t stops_at = kBody) {
    for (int i = 0; i < count; ++i) {
      this->senders.push_back(std::make_unique<Sender>(this->budget, customer,
                                                       this->now, stops_at));
    }
  }
  int Completed() {
    int count = 0;
    for (const auto& sender : this->senders) {
      count += sender->is_complete ? 1 : 0;
    }
    return count;
  }
  void teardown() override { this->senders.clear(); }
};

// Guards against bodies read in part that keep each other from going on.
TEST(BodyBudget, ManyBodiesAreAllCompletedWithinTheBudget) {
  constexpr int kWholeBody = kBody / kPiece;
  this->Add(60, "a");
  const std::size_t peak = Run(budget, senders, now, seconds(3), kWholeBody);
  CHECK_EQUAL(60, this->Completed());
  CHECK(peak <= kBudget);
  CHECK_EQUAL(0, budget.held_bytes());
  CHECK_EQUAL(0, budget.waiting_count());
}

// Guards against a crowd that stops short and keeps all others out.
TEST(BodyBudget, StalledBodiesMakeRoomForOthers) {
  this->Add(50, "a", kBody - kPiece);
  Run(budget, senders, now, seconds(1));
  const std::size_t crowd = senders.size();
  this->Add(5, "b");
  const std::size_t peak = Run(budget, senders, now, seconds(4));
  for (std::size_t i = crowd; i < senders.size(); ++i) {
    CHECK(senders[i]->is_complete);
  }
  CHECK(peak <= kBudget);
}

// Guards against a customer whose flood uses what others need.
TEST(BodyBudget, CustomerWithOneBodyIsNotHeldUpByAFlood) {
  this->Add(40, "flood");
  Run(budget, senders, now, milliseconds(200), 3);
  this->Add(1, "single");
  Run(budget, senders, now, seconds(1));
  CHECK(senders.back()->is_complete);
}

// Guards against a slow caller that is cut off though there is room.
TEST(BodyBudget, StalledBodyStaysWhileNobodyWaits) {
  this->Add(3, "a", kBody / 2);
  Run(budget, senders, now, seconds(60));
  for (const auto& sender : senders) {
    CHECK(!sender->cause);
  }
}

// Guards against a crowd that uses up the connections, within the budget.
TEST(BodyBudget, StalledBodiesEndWhileConnectionsWait) {
  this->Add(3, "a", kBody / 2);
  Run(budget, senders, now, seconds(3));
  budget.Tick(now, true);
  for (const auto& sender : senders) {
    CHECK(sender->cause == BudgetCause::kNoProgress);
  }
}

// Guards against a budget that a single legal request exceeds.
TEST(BodyBudget, SingleBodyFitsAnyBudget) {
  BodyBudget tiny(kPiece);
  std::vector<std::unique_ptr<Sender>> single;
  single.push_back(std::make_unique<Sender>(tiny, "a", now));
  Run(tiny, single, now, seconds(1));
  CHECK(single[0]->is_complete);
}

// Guards against sums that drift, and against requests without an end.
TEST(BodyBudget, RandomCrowdsEndAndLeaveNothing) {
  const bool holds = rc::check("every request ends", [] {
    BodyBudget budget{kBudget};
    TimePoint now{std::chrono::hours(1)};
    std::vector<std::unique_ptr<Sender>> senders;
    const int count = *rc::gen::inRange(1, 120);
    for (int i = 0; i < count; ++i) {
      const auto customer = *rc::gen::inRange(0, 4);
      const bool stops = *rc::gen::inRange(0, 2) == 0;
      senders.push_back(std::make_unique<Sender>(
          budget, std::to_string(customer), now,
          stops ? static_cast<std::size_t>(*rc::gen::inRange(0, 64)) * kPiece
                : kBody));
    }
    const std::size_t peak = Run(budget, senders, now, seconds(8));
    RC_ASSERT(peak <= kBudget);
    for (const auto& sender : senders) {
      RC_ASSERT(sender->is_done() || sender->stops_at < kBody);
    }
    RC_ASSERT(budget.waiting_count() == 0U);
    senders.clear();
    RC_ASSERT(budget.held_bytes() == 0U);
    RC_ASSERT(budget.is_calm());
  });
  CHECK(holds);
}

// Requests that are small, but of one customer and many.
TEST(BodyBudget, SmallRequestsOfOneCustomerLeaveRoom) {
  constexpr std::size_t kHeld = std::size_t{48} << 10U;
  BodyBudget budget(kBudget);
  const TimePoint now{};
  std::vector<std::unique_ptr<Sender>> all;
  const auto starts = [&](const std::string& customer) {
    all.push_back(std::make_unique<Sender>(budget, customer, now));
    all.back()->account.EndBody();
    all.back()->account.SetHeld(kHeld);
    const bool starts = all.back()->account.MayStart(customer);
    if (!starts) {
      all.back()->account.SetHeld(0);
    }
    return starts;
  };
  for (std::size_t i = 0; i < kBudget / kHeld; ++i) {
    starts("one");
  }
  CHECK_FALSE(starts("one"));
  CHECK_TRUE(starts("other"));
  CHECK_COMPARE(budget.stopped_count(BudgetCause::kExhausted), >, 0U);
}

TEST(BodyBudget, HeadsAreRefusedWithoutMemory) {
  BodyBudget budget(kBudget);
  const TimePoint now{};
  Sender holder(budget, "one", now);
  holder.account.EndBody();
  Sender other(budget, "other", now);
  CHECK_TRUE(other.account.MayReadHead());
  holder.account.SetHeld(kBudget);
  CHECK_FALSE(other.account.MayReadHead());
  CHECK_EQUAL(1U, budget.stopped_count(BudgetCause::kExhausted));
  holder.account.SetHeld(0);
  CHECK_TRUE(other.account.MayReadHead());
}
