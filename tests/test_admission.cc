// Tests of the decisions of admission control at one instance.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/admission_gate.h"
#include "core/load_ledger.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kHeavy = 1;

// An instance of 24, with 100 slots that are in use for 2 s each.
class Controller {
 public:
  Controller() {
    this->controller.SetCapacity("model",
                                 {.reserved = {},
                                  .unreserved = {.engines = 10,
                                                 .slots = 100,
                                                 .running = 100,
                                                 .mean_duration = seconds(2)},
                                  .instances = 24},
                                 this->now);
  }

  static AdmissionRequest Request(std::uint64_t identity, int tier = 1,
                                  std::uint64_t customer = 2) {
    return {.service = "model",
            .urgency = {.tier = tier, .route_tier = tier},
            .customer = customer,
            .identity = identity,
            .kv_tokens = 1000,
            .target = seconds(2),
            .time_limit = seconds(12)};
  }
  Standing Arrive(std::uint64_t identity, int tier = 1,
                  std::uint64_t customer = 2) {
    return this->controller.RecordArrival(Request(identity, tier, customer),
                                          this->now);
  }
  Duration Refuse(std::uint64_t identity, int tier = 1,
                  std::uint64_t customer = 2) {
    const Standing standing = this->Arrive(identity, tier, customer);
    return this->controller.RecordRefusal(Request(identity, tier, customer),
                                          standing, 0, this->now);
  }

  AdmissionController controller{1};
  TimePoint now = TimePoint{} + std::chrono::hours(1);
};

}  // namespace

TEST_GROUP(Admission){};

// Guards against decisions that change for services of earlier deployments.
TEST(Admission, OtherServicesAreLeftAlone) {
  Controller c;
  class NoServers : public ServerDecoder {
    [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
        const SharedDocument&) const override {
      return tl::unexpected(std::string("none"));
    }
  } decoder;
  const BackendDirectory directory(decoder);
  const Placer placer({.data_centre = "a", .instance = "i"}, directory);
  const Route route{.name = "r", .kind = RouteKind::kStream};
  const RoutedService service{.name = "model", .batch_slots = 12};
  PlacementQuery query{.route = &route, .service = &service};
  AdmissionGate gate(c.controller, placer);
  gate.Arrive(Controller::Request(1), query, c.now);
  gate.Prepare(query, c.now);
  CHECK(!gate.standing());
  CHECK(!gate.DecideWait(0, c.now));
  CHECK(!gate.Refuse(0, c.now));
  CHECK(query.kept_room.slots == 0 && query.kept_room.kv_tokens == 0 &&
        !query.kept_room.urgent_start);
  CHECK(query.withheld == WithheldEngines{});
  CHECK(c.controller.counts().arrivals.empty());

  c.controller.Cover("model");
  gate.Arrive(Controller::Request(1), query, c.now);
  CHECK(gate.standing() == Standing::kFirst);
  // Plain services have no slots that could be kept.
  CHECK(!c.controller.Covers({.name = "model"}));
}

// Guards against repeated attempts that count as first ones, and against
// callers that lose their precedence although they come at their time.
TEST(Admission, CallersAreKnownByTheirRequests) {
  Controller c;
  const TimePoint refused_at = c.now;
  const Duration wait = c.Refuse(1);
  CHECK(c.Arrive(1) == Standing::kRepeated);
  c.now += milliseconds(5);
  CHECK(c.Arrive(1) == Standing::kRepeated);
  CHECK(c.Arrive(2) == Standing::kFirst);
  // A repeated attempt is told the same time as before.
  const Duration again = c.Refuse(1);
  CHECK(again <= wait && c.now + again >= refused_at + wait);
  c.now = refused_at + wait / 2;
  CHECK(c.Arrive(1) == Standing::kFirst);
  c.now = refused_at + wait;
  CHECK(c.Arrive(1) == Standing::kReturning);
  c.controller.RecordAdmission(Controller::Request(1), c.now);
  CHECK(c.Arrive(1) == Standing::kFirst);
}

// Guards against yielding requests that wait in place of first attempts, and
// against returning ones that are not tried before them.
TEST(Admission, ReturningRequestsComeFirst) {
  Controller c;
  const AdmissionRequest request = Controller::Request(1);
  const auto decide = [&](Standing standing, int ahead) {
    return c.controller.DecideWait(request, standing, ahead, c.now);
  };
  CHECK(decide(Standing::kFirst, 0).waits);
  CHECK(decide(Standing::kReturning, 0).waits);
  CHECK(!decide(Standing::kRepeated, 0).waits);
  CHECK(!decide(Standing::kAboveShare, 0).waits);
  CHECK(decide(Standing::kReturning, 3).order_delay <
        decide(Standing::kFirst, 3).order_delay);
  // Two requests per second get a slot here.
  CHECK(!decide(Standing::kFirst, 5).waits);
  CHECK(decide(Standing::kFirst, 5).expected > seconds(2));
  const KeptRoom first =
      c.controller.RoomToKeep(request, Standing::kFirst, c.now);
  const KeptRoom repeated =
      c.controller.RoomToKeep(request, Standing::kRepeated, c.now);
  CHECK(first.slots == 0);
  // Less than the next tier leaves free (0.06 of the slots).
  CHECK(repeated.slots > 0 && repeated.slots < 0.06 * 10);
}

// Guards against refused callers that return together, or before the backlog
// can be served.
TEST(Admission, TimesAreSpreadOverTheBacklog) {
  Controller c;
  std::vector<Duration> times;
  for (std::uint64_t identity = 1; identity <= 40; ++identity) {
    times.push_back(c.Refuse(identity));
    c.now += milliseconds(10);
  }
  std::sort(times.begin(), times.end());
  CHECK(times.front() >= milliseconds(200));
  // Callers wait for up to 4 s, a third of their time limit.
  CHECK(times.back() > seconds(4));
  // Half of the completions (2 per second) serve what returns.
  CHECK(std::count_if(times.begin(), times.end(),
                      [](Duration time) { return time < seconds(2); }) <= 6);
  for (std::size_t i = 5; i < 10; ++i) {
    CHECK(times[i] > times[i - 5]);
  }
}

// Guards against promises that only the instance keeps that made them.
TEST(Admission, OtherInstancesKeepPromises) {
  Controller told;
  Controller other;
  const Duration wait = told.Refuse(1);
  told.now += milliseconds(500);
  other.now = told.now;
  other.controller.ApplyReport("told", told.controller.Report(told.now),
                               other.now);
  told.controller.RecordReportSent();
  CHECK(told.controller.Report(told.now).promises.empty());
  other.now += wait - milliseconds(500);
  CHECK(other.Arrive(1) == Standing::kReturning);
  // Promises don't stay forever.
  other.now += seconds(6);
  other.controller.Expire(other.now);
  CHECK(other.controller.promise_count() == 0);
}

// Guards against a customer that takes the room of others of its tier, and
// against one that gets nothing of its share.
TEST(Admission, TheCustomerAboveItsShareYields) {
  Controller c;
  int yielded = 0;
  int others_yielded = 0;
  std::uint64_t identity = 1;
  for (int i = 0; i < 200; ++i) {
    c.now += milliseconds(25);
    // Other instances see the same.
    AdmissionReport report;
    for (std::uint64_t customer = 1; customer <= 10; ++customer) {
      report.demands.push_back({.service_hash = IdHash("model"),
                                .tier = 1,
                                .customer = customer,
                                .count = customer == kHeavy ? 16.0 : 2.0});
    }
    c.controller.ApplyReport("peer", report, c.now);
    // A third of the requests is refused.
    const bool is_heavy = i % 2 == 0;
    const std::uint64_t customer =
        is_heavy ? kHeavy : 2 + static_cast<std::uint64_t>(i / 2 % 9);
    const Standing standing = c.Arrive(identity, 1, customer);
    if (i > 50 && standing == Standing::kAboveShare) {
      ++(is_heavy ? yielded : others_yielded);
    }
    const AdmissionRequest request =
        Controller::Request(identity++, 1, customer);
    if (i % 3 == 0) {
      (void)c.controller.RecordRefusal(request, standing, 0, c.now);
    } else {
      c.controller.RecordAdmission(request, c.now);
    }
  }
  CHECK(others_yielded == 0);
  CHECK(yielded >= 15 && yielded <= 65);
}

// Guards against a less urgent request that takes the engine for which a more
// urgent one came a moment too early.
TEST(Admission, LessUrgentRequestsYieldToRefusedOnes) {
  Controller c;
  (void)c.Refuse(1, 0);
  const AdmissionRequest less_urgent = Controller::Request(2, 1);
  CHECK(c.controller.YieldsToRefused(less_urgent, c.now + milliseconds(50)));
  CHECK(!c.controller.YieldsToRefused(Controller::Request(3, 0),
                                      c.now + milliseconds(50)));
  // They are served in the end.
  CHECK(!c.controller.YieldsToRefused(less_urgent, c.now + milliseconds(200)));
}

// Guards against engines without room for a burst of the urgent tier once
// requests of it are refused, at this instance or at others.
TEST(Admission, RoomIsKeptForTheUrgentTier) {
  Controller c;
  for (std::uint64_t identity = 1; identity <= 60; ++identity) {
    c.now += milliseconds(250);
    (void)c.Arrive(identity, 0);
  }
  const AdmissionRequest less_urgent = Controller::Request(100, 1);
  const auto kept = [&](const AdmissionRequest& request) {
    return c.controller.RoomToKeep(request, Standing::kFirst, c.now);
  };
  CHECK(kept(less_urgent).slots == 0);
  CHECK(kept(less_urgent).urgent_start <= seconds(2));
  AdmissionReport report;
  report.refusals.push_back({.service_hash = IdHash("model"),
                             .urgency = {.tier = 0, .route_tier = 0},
                             .count = 40});
  c.controller.ApplyReport("peer", report, c.now);
  CHECK(kept(less_urgent).slots > 1.5);
  CHECK(kept(less_urgent).kv_tokens > 1500);
  CHECK(kept(Controller::Request(101, 0)).slots == 0);
}
