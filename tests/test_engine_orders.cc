// Tests of the orders of engines that the holder of the duty sends, with
// hand-written fakes of the platform's API, the store and the tenure.
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "app/engine_orders.h"
#include "core/load_ledger.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
constexpr Duration kTick = milliseconds(200);
constexpr int kPlain = 12;

// Answers each order as the test says; the order takes effect if accepted.
class FakeCalls : public DutyCalls {
 public:
  struct Order {
    DutyGrant grant;
    EngineOrder order;
    TimePoint at;
  };

  void SendUsage(const DutyGrant&, const UsageReport&, Done) override {
    FAIL("no usage is reported here");
  }
  void SendOrder(const DutyGrant& grant, const EngineOrder& order,
                 Done callback) override {
    CHECK(!this->is_busy());
    this->sent.push_back({grant, order, this->now});
    this->done = std::move(callback);
  }
  [[nodiscard]] bool is_busy() const override {
    return this->done != nullptr || this->is_used_by_others;
  }
  void Cancel() override { this->done = nullptr; }
  void Tick(TimePoint) override {}

  // Answers the order in progress.
  void Answer(DutyCallResult result) {
    const Done callback = std::exchange(this->done, nullptr);
    callback(result);
  }

  std::vector<Order> sent;
  bool is_used_by_others = false;
  TimePoint now = kStart;

 private:
  Done done;
};

// Reads the claim's key as the test says.
class FakeStore : public LeaseStore {
 public:
  void GrantLease(Duration, Done<StoreLease>) override {
    FAIL("no lease is taken here");
  }
  void RenewLease(std::uint64_t, Done<Duration>) override {
    FAIL("no lease is renewed here");
  }
  void EndLease(std::uint64_t, Done<bool>) override {
    FAIL("no lease is ended here");
  }
  void Commit(const StoreTransaction&, Done<std::uint64_t>) override {
    FAIL("nothing is written here");
  }
  void Read(const std::string& key, Done<StoreItem> callback) override {
    this->read_keys.push_back(key);
    this->done = std::move(callback);
  }
  [[nodiscard]] std::uint64_t era() const override { return 0; }
  [[nodiscard]] bool is_busy() const override { return this->done != nullptr; }
  void Cancel() override { this->done = nullptr; }
  void Tick(TimePoint) override {}

  void Answer(tl::expected<StoreItem, LeaseStoreError> item) {
    const Done<StoreItem> callback = std::exchange(this->done, nullptr);
    callback(std::move(item));
  }

  std::vector<std::string> read_keys;

 private:
  Done<StoreItem> done;
};

class FakeTenure : public DutyTenure {
 public:
  [[nodiscard]] std::optional<DutyGrant> Grant(TimePoint) const override {
    return this->grant;
  }
  void OnFenced(std::uint64_t token, TimePoint) override {
    this->fenced.push_back(token);
    this->grant.reset();
  }

  std::optional<DutyGrant> grant;
  std::vector<std::uint64_t> fenced;
};

DutyGrant GrantOf(std::uint64_t token) {
  return {
      .token = token, .claim_key = "duties/holder", .claim_revision = token};
}

std::shared_ptr<const RoutingConfiguration> MakeConfiguration(
    bool has_scaling = true) {
  RoutingConfiguration configuration;
  RoutedService service{.name = "model", .batch_slots = 12};
  if (has_scaling) {
    service.scaling = {.max_engines = 20,
                       .boot_time = seconds(4),
                       .reclaimable_price = 0.2,
                       .price_by_data_centre = {{"north", 1}, {"south", 1}}};
  }
  configuration.services.push_back(service);
  configuration.services.push_back({.name = "plain"});
  configuration.BuildIndexes();
  return std::make_shared<const RoutingConfiguration>(std::move(configuration));
}

}  // namespace

TEST_GROUP(EngineOrders) {
  FakeCalls calls;
  FakeStore store;
  FakeTenure tenure;
  EventLog log{"i-1", LogFormat::kJson, "error"};
  std::map<std::string, RegisteredServer> servers;
  std::shared_ptr<const RoutingConfiguration> configuration =
      MakeConfiguration();
  std::unique_ptr<EngineOrders> orders;
  TimePoint now = kStart;

  void setup() override {
    this->orders = std::make_unique<EngineOrders>(
        EngineOrdersOptions{
            .instance = "i-1", .data_centre = "north", .calls_per_second = 4},
        this->calls, this->store, this->log);
    for (const char* zone : {"north", "south"}) {
      this->Register(zone, false, kPlain);
    }
    this->tenure.grant = GrantOf(7);
  }
  void Register(const std::string& zone, bool is_reclaimable, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "e" + std::to_string(this->servers.size());
      this->servers[id] = {.id = id,
                           .service = "model",
                           .data_centre = zone,
                           .is_reclaimable = is_reclaimable};
    }
  }
  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += kTick) {
      this->calls.now = this->now;
      if (this->orders->IsObservationDue(this->now)) {
        this->orders->Observe({.configuration = this->configuration,
                               .servers = &this->servers,
                               .own_demand = {}},
                              this->now);
      }
      this->orders->Tick(this->tenure, this->now);
    }
  }
  // Runs until an order is sent; returns it.
  const FakeCalls::Order& AwaitOrder(Duration limit = seconds(2)) {
    const std::size_t before = this->calls.sent.size();
    for (const TimePoint end = this->now + limit;
         this->now < end && this->calls.sent.size() == before;) {
      this->Run(kTick);
    }
    CHECK_TEXT(this->calls.sent.size() > before, "no order was sent");
    return this->calls.sent.back();
  }
  // Runs until an order is sent, and answers it.
  EngineOrder AnswerOrder(DutyCallResult result, Duration limit = seconds(2)) {
    const EngineOrder order = this->AwaitOrder(limit).order;
    this->calls.Answer(result);
    this->Run(kTick);
    return order;
  }
  [[nodiscard]] std::string Metrics() const {
    std::string text;
    this->orders->AppendMetrics(text, this->now);
    return text;
  }
};

// Guards against orders of an instance that doesn't hold the duty, and for
// services whose engines can't be ordered.
TEST(EngineOrders, OnlyTheHolderOrders) {
  this->tenure.grant.reset();
  this->Run(seconds(10));
  LONGS_EQUAL(0, this->calls.sent.size());
  this->configuration = MakeConfiguration(false);
  this->tenure.grant = GrantOf(7);
  this->Run(seconds(10));
  LONGS_EQUAL(0, this->calls.sent.size());
  CHECK(this->orders->is_idle());
}

// Guards against orders that are sent twice, too fast or with another token.
TEST(EngineOrders, SendsOneOrderPerDataCentreAndNoneTwice) {
  const EngineOrder first = this->AnswerOrder(DutyCallResult::kAccepted);
  const EngineOrder second = this->AnswerOrder(DutyCallResult::kAccepted);
  CHECK(first.data_centre != second.data_centre);
  for (const FakeCalls::Order& sent : this->calls.sent) {
    CHECK(sent.grant == GrantOf(7));
    STRCMP_EQUAL("model", sent.order.service.c_str());
    CHECK(sent.order.is_reclaimable);
    LONGS_EQUAL(20 - kPlain, sent.order.engine_count);
  }
  // Half of the platform's four calls per second.
  CHECK(this->calls.sent[1].at - this->calls.sent[0].at >= milliseconds(500));
  this->Register("north", true, 20 - kPlain);
  this->Register("south", true, 20 - kPlain);
  this->Run(seconds(60));
  LONGS_EQUAL(2, this->calls.sent.size());
  STRCMP_CONTAINS("rosemarycove_engine_orders_total{outcome=\"accepted\"} 2",
                  this->Metrics().c_str());
  STRCMP_CONTAINS(
      "rosemarycove_engines_wanted{service=\"model\",data_centre=\"north\","
      "kind=\"reclaimable\"} 8",
      this->Metrics().c_str());
}

// Guards against a call while another task's is in progress.
TEST(EngineOrders, WaitsForTheCallsOfOtherTasks) {
  this->calls.is_used_by_others = true;
  this->Run(seconds(5));
  LONGS_EQUAL(0, this->calls.sent.size());
  this->calls.is_used_by_others = false;
  this->AwaitOrder();
  CHECK(!this->orders->is_idle());
}

// Guards against a rejected order that is taken for the loss of the duty though
// the platform has no engines, and against tries without a pause.
TEST(EngineOrders, ARejectedOrderWithTheClaimStandingIsTriedLater) {
  const EngineOrder order = this->AnswerOrder(DutyCallResult::kRejected);
  this->Run(kTick);
  LONGS_EQUAL(1, this->store.read_keys.size());
  STRCMP_EQUAL("duties/holder", this->store.read_keys[0].c_str());
  CHECK(!this->orders->is_idle());
  const TimePoint settled = this->now;
  this->store.Answer(StoreItem{.key = "duties/holder", .revision = 7});
  this->Run(milliseconds(600));
  CHECK(this->tenure.fenced.empty());
  // The other data centre has engines.
  LONGS_EQUAL(2, this->calls.sent.size());
  const EngineOrder other = this->calls.sent.back().order;
  CHECK(other.data_centre != order.data_centre);
  this->calls.Answer(DutyCallResult::kAccepted);
  this->Register(other.data_centre, true, other.engine_count);
  const FakeCalls::Order& again = this->AwaitOrder(seconds(5));
  CHECK(again.order.data_centre == order.data_centre);
  CHECK(again.at - settled >= seconds(2) - kTick);
}

// Guards against a holder that goes on though another has a higher token.
TEST(EngineOrders, ARejectedOrderWithoutTheClaimEndsTheTerm) {
  this->AnswerOrder(DutyCallResult::kRejected);
  this->Run(kTick);
  this->store.Answer(StoreItem{.key = "duties/holder", .revision = 9});
  this->Run(seconds(10));
  LONGS_EQUAL(1, this->tenure.fenced.size());
  LONGS_EQUAL(7, this->tenure.fenced[0]);
  LONGS_EQUAL(1, this->calls.sent.size());
}

// Guards against a rejection that stays unsettled, and blocks all orders, when
// the store fails.
TEST(EngineOrders, AFailedReadIsRepeatedUntilTheDutyIsLost) {
  this->AnswerOrder(DutyCallResult::kRejected);
  for (int i = 0; i < 3; ++i) {
    this->Run(seconds(1));
    LONGS_EQUAL(i + 1, this->store.read_keys.size());
    this->store.Answer(
        tl::unexpected(LeaseStoreError{.kind = LeaseStoreErrorKind::kUnknown}));
  }
  this->tenure.grant.reset();
  this->Run(seconds(1));
  CHECK(this->orders->is_idle());
  CHECK(this->tenure.fenced.empty());
  STRCMP_CONTAINS("{outcome=\"unsettled\"} 1", this->Metrics().c_str());
}

// Guards against an order that is lost, and one that is executed late after a
// newer one and is not corrected.
TEST(EngineOrders, AnUnknownOutcomeIsRepeatedAndStatedOnceMore) {
  const EngineOrder order = this->AnswerOrder(DutyCallResult::kUnknown);
  const EngineOrder again = this->AnswerOrder(DutyCallResult::kAccepted);
  CHECK(again == order);
  const EngineOrder other = this->AnswerOrder(DutyCallResult::kAccepted);
  this->Register(order.data_centre, true, order.engine_count);
  this->Register(other.data_centre, true, other.engine_count);
  const EngineOrder stated =
      this->AnswerOrder(DutyCallResult::kAccepted, seconds(10));
  CHECK(stated == order);
  this->Run(seconds(60));
  LONGS_EQUAL(4, this->calls.sent.size());
}

// Guards against calls that the platform keeps throttling.
TEST(EngineOrders, ThrottledOrdersComeAfterAPauseThatDoubles) {
  for (int i = 0; i < 4; ++i) {
    this->AnswerOrder(DutyCallResult::kThrottled, seconds(10));
  }
  const auto& sent = this->calls.sent;
  CHECK(sent[1].at - sent[0].at >= seconds(1));
  CHECK(sent[2].at - sent[1].at >= seconds(2));
  CHECK(sent[3].at - sent[2].at >= seconds(4));
}

// Guards against a response to a former term that changes the plan of this one,
// and against a new term that doesn't look at what is registered.
TEST(EngineOrders, ANewTermStartsFromWhatIsRegistered) {
  this->AwaitOrder();
  this->tenure.grant = GrantOf(12);
  this->Register("north", true, 20 - kPlain);
  this->Run(kTick);
  this->calls.Answer(DutyCallResult::kAccepted);
  const EngineOrder order = this->AnswerOrder(DutyCallResult::kAccepted);
  STRCMP_EQUAL("south", order.data_centre.c_str());
  LONGS_EQUAL(12, this->calls.sent.back().grant.token);
  this->Register("south", true, 20 - kPlain);
  this->Run(seconds(30));
  LONGS_EQUAL(2, this->calls.sent.size());
}

// Guards against a call that was cancelled and for which the task waits for
// ever.
TEST(EngineOrders, ACancelledCallCountsAsUnknown) {
  this->AwaitOrder();
  this->calls.Cancel();
  this->Run(kTick);
  STRCMP_CONTAINS("{outcome=\"unknown\"} 1", this->Metrics().c_str());
}

// Guards against a response that arrives after the end of the task.
TEST(EngineOrders, ALateResponseAfterTheEndHasNoEffect) {
  this->AwaitOrder();
  this->orders.reset();
  this->calls.Answer(DutyCallResult::kAccepted);
}

// Guards against orders before the servers are known, when none seem to be
// registered.
TEST(EngineOrders, NothingIsOrderedBeforeTheDirectoryIsRead) {
  this->orders->Observe({.configuration = this->configuration}, this->now);
  for (int i = 0; i < 20; ++i) {
    this->orders->Tick(this->tenure, this->now += kTick);
  }
  LONGS_EQUAL(0, this->calls.sent.size());
}
