// Tests of the rate limits that servers name, for fleets on a virtual clock.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/server_rate_limits.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kRapidCheckParameters[] = "seed=20261204 max_success=100";
constexpr std::uint64_t kServer = 77;
constexpr int kTier = 1;
constexpr Duration kTick = milliseconds(50);

std::string NameOf(std::size_t index) { return "i" + std::to_string(index); }

// What a server may get in a window: one and a half times the limit, and five
// more.
int MaxInWindow(double per_second) {
  return static_cast<int>(
      1.5 * per_second * ToSeconds(ServerRateLimits::kWindow) + 5);
}

struct FleetOptions {
  std::size_t instances = 9;
  double limit = 2;
  // Requests per second that could use the server, at all instances.
  double demand = 50;
  Duration report_interval = milliseconds(100);
  // How long a report takes.
  Duration delay = milliseconds(3);
  unsigned seed = 1;
};

// Instances that send requests to one server as far as they may, and report to
// each other.
class LimitFleet {
 public:
  explicit LimitFleet(const FleetOptions& options)
      : options(options), random(options.seed), limit(options.limit) {
    for (std::size_t i = 0; i < options.instances; ++i) {
      this->members.push_back(
          {.limits = std::make_unique<ServerRateLimits>(NameOf(i))});
    }
  }

  // Every request to the server is answered at once with the limit.
  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    for (; this->now < end; this->now += kTick) {
      this->Deliver();
      for (std::size_t i = 0; i < this->members.size(); ++i) {
        this->TickMember(i);
      }
      const int arrivals = std::poisson_distribution<int>(
          this->options.demand * ToSeconds(kTick))(this->random);
      for (int k = 0; k < arrivals; ++k) {
        this->Request(this->random() % this->members.size(), kTier);
      }
    }
  }
  // A request arrives at the instance; returns whether it is sent.
  bool Request(std::size_t index, int tier) {
    Member& member = this->members[index];
    if (member.is_frozen || !member.limits->MaySend(kServer, tier, this->now)) {
      if (!member.is_frozen) {
        member.limits->RecordRefusal(kServer, tier, this->now);
      }
      return false;
    }
    member.limits->RecordSend(kServer, this->now);
    member.limits->Observe(kServer, this->limit, this->now, this->now);
    this->sends.push_back(this->now);
    return true;
  }
  // Replaces the process of an instance.
  void Restart(std::size_t index) {
    this->members[index].limits =
        std::make_unique<ServerRateLimits>(NameOf(index));
    this->members[index].has_reported_to.clear();
    for (Member& other : this->members) {
      other.has_reported_to.erase(index);
    }
  }
  void SetFrozen(std::size_t index, bool value) {
    this->members[index].is_frozen = value;
  }
  // Instances of different groups can't hear each other.
  void SetGroups(std::function<std::size_t(std::size_t)> value) {
    this->group_of = std::move(value);
  }
  void SetLimit(std::optional<double> value) { this->limit = value; }

  // Returns the largest number of sends within a window from `start` on.
  [[nodiscard]] int MostInWindow(TimePoint start) const {
    int most = 0;
    for (auto begin = this->sends.begin(); begin != this->sends.end();
         ++begin) {
      if (*begin >= start) {
        const auto end = std::lower_bound(begin, this->sends.end(),
                                          *begin + ServerRateLimits::kWindow);
        most = std::max(most, static_cast<int>(end - begin));
      }
    }
    return most;
  }
  [[nodiscard]] int SentSince(TimePoint start) const {
    return static_cast<int>(
        this->sends.end() -
        std::lower_bound(this->sends.begin(), this->sends.end(), start));
  }
  [[nodiscard]] TimePoint time() const { return this->now; }
  [[nodiscard]] ServerRateLimits& limits(std::size_t index) {
    return *this->members[index].limits;
  }

 private:
  struct Member {
    std::unique_ptr<ServerRateLimits> limits;
    std::set<std::size_t> has_reported_to;
    TimePoint last_report_at;
    bool is_frozen = false;
  };
  struct Message {
    TimePoint due;
    std::size_t from = 0;
    std::size_t to = 0;
    bool is_first = false;
    std::vector<RateLimitReport> reports;
  };

  void TickMember(std::size_t index) {
    Member& member = this->members[index];
    if (member.is_frozen) {
      return;
    }
    std::vector<std::string> peers;
    bool hears_all = true;
    for (std::size_t i = 0; i < this->members.size(); ++i) {
      if (i != index) {
        peers.push_back(NameOf(i));
        hears_all = hears_all && this->CanHear(index, i);
      }
    }
    member.limits->SetFleet(peers, hears_all, this->now);
    member.limits->Tick(this->now);
    if (!member.limits->HasUrgentReport() &&
        this->now - member.last_report_at < this->options.report_interval) {
      return;
    }
    member.last_report_at = this->now;
    for (std::size_t i = 0; i < this->members.size(); ++i) {
      if (i == index || !this->CanHear(index, i)) {
        continue;
      }
      const bool is_first = member.has_reported_to.insert(i).second;
      this->messages.push_back(
          {.due = this->now + this->options.delay,
           .from = index,
           .to = i,
           .is_first = is_first,
           .reports = member.limits->Reports(is_first, this->now)});
    }
    member.limits->RecordReportSent();
  }
  [[nodiscard]] bool CanHear(std::size_t a, std::size_t b) const {
    return !this->members[a].is_frozen && !this->members[b].is_frozen &&
           this->group_of(a) == this->group_of(b);
  }
  void Deliver() {
    while (!this->messages.empty() && this->messages.front().due <= this->now) {
      const Message message = std::move(this->messages.front());
      this->messages.pop_front();
      if (!this->members[message.to].is_frozen) {
        this->members[message.to].limits->Merge(
            NameOf(message.from), message.reports, message.is_first, this->now);
      }
    }
  }

  FleetOptions options;
  std::mt19937 random;
  std::optional<double> limit;
  std::function<std::size_t(std::size_t)> group_of = [](std::size_t) {
    return std::size_t{0};
  };
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  std::vector<Member> members;
  std::deque<Message> messages;
  std::vector<TimePoint> sends;
};

// A single instance that knows a limit.
struct Single {
  explicit Single(double limit) {
    this->limits.SetFleet({}, true, this->now);
    this->limits.Observe(kServer, limit, this->now, this->now);
  }

  TimePoint now = TimePoint{} + std::chrono::hours(1);
  ServerRateLimits limits{"a"};
};

}  // namespace

TEST_GROUP(ServerRateLimits){
    void setup() override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

// Guards against instances that each keep to the limit and exceed it together,
// in fleets of all sizes, and against a limit that nobody uses.
TEST(ServerRateLimits, SumOfAllInstancesKeepsToTheLimitAndUsesIt) {
  for (const std::size_t instances : {1, 2, 9, 65}) {
    for (const double limit : {0.3, 1.0, 2.0, 20.0}) {
      for (const double demand : {1.0, 50.0, 700.0}) {
        LimitFleet fleet(
            {.instances = instances,
             .limit = limit,
             .demand = demand,
             .report_interval = milliseconds(instances > 9 ? 500 : 100)});
        const TimePoint start = fleet.time();
        fleet.Run(seconds(60));
        CHECK(fleet.MostInWindow(start + seconds(1)) <= MaxInWindow(limit));
        const double share = fleet.SentSince(start + seconds(20)) /
                             (40 * std::min(limit, demand));
        CHECK(share > 0.4);
      }
    }
  }
}

// Guards against the sum being exceeded while instances can't hear each other,
// freeze, restart, or the limit changes.
TEST(ServerRateLimits, SumKeepsToTheLimitDuringCutsFreezesRestartsAndChanges) {
  CHECK(rc::check("the sum keeps to the limit", [] {
    const auto instances = *rc::gen::element<std::size_t>(2, 3, 9, 30, 65);
    const auto limit = *rc::gen::element(0.3, 1.0, 1.5, 4.0, 20.0);
    LimitFleet fleet(
        {.instances = instances,
         .limit = limit,
         .demand = *rc::gen::element(2.0, 50.0, 500.0),
         .report_interval = milliseconds(instances > 9 ? 500 : 100),
         .delay = milliseconds(*rc::gen::inRange(1, 80)),
         .seed = *rc::gen::arbitrary<unsigned>()});
    const TimePoint start = fleet.time();
    double highest = limit;
    fleet.Run(seconds(4));
    const auto steps = *rc::gen::inRange(1, 8);
    for (int step = 0; step < steps; ++step) {
      const auto index = *rc::gen::inRange<std::size_t>(0, instances);
      switch (*rc::gen::inRange(0, 5)) {
        case 0: {
          const auto groups = *rc::gen::inRange<std::size_t>(2, 4);
          fleet.SetGroups([groups](std::size_t i) { return i % groups; });
          break;
        }
        case 1:
          fleet.SetGroups([](std::size_t) { return std::size_t{0}; });
          break;
        case 2:
          fleet.SetFrozen(index, true);
          fleet.Run(milliseconds(*rc::gen::inRange(50, 5000)));
          fleet.SetFrozen(index, false);
          break;
        case 3:
          fleet.Restart(index);
          break;
        default: {
          const double changed = limit * *rc::gen::element(0.5, 1.0, 2.0);
          highest = std::max(highest, changed);
          fleet.SetLimit(changed);
          break;
        }
      }
      fleet.Run(milliseconds(*rc::gen::inRange(50, 6000)));
    }
    // A restarted instance sends until it hears of the limit; each sends at
    // most a few requests more.
    RC_ASSERT(fleet.MostInWindow(start + seconds(1)) <=
              MaxInWindow(highest) + 3 * steps);
  }));
}

// Guards against instances that each use what they don't see the others use.
TEST(ServerRateLimits, SumKeepsToTheLimitWhileNobodyHearsAnother) {
  LimitFleet fleet({});
  fleet.Run(seconds(10));
  fleet.SetGroups([](std::size_t i) { return i; });
  const TimePoint start = fleet.time();
  fleet.Run(seconds(30));
  CHECK(fleet.MostInWindow(start) <= MaxInWindow(2));
  CHECK(fleet.SentSince(start) >= 30);
}

// Guards against a limit that stays because nothing is sent any more that could
// show its end.
TEST(ServerRateLimits, LimitOfZeroIsTriedAndEnds) {
  LimitFleet fleet({.limit = 0});
  const TimePoint start = fleet.time();
  fleet.Run(seconds(30));
  CHECK(fleet.MostInWindow(start + seconds(1)) <= MaxInWindow(0));
  fleet.SetLimit(std::nullopt);
  fleet.Run(seconds(15));
  for (std::size_t i = 0; i < 9; ++i) {
    CHECK(!fleet.limits(i).IsLimited(kServer));
  }
}

// Guards against an instance that exceeds a limit until a response tells it.
TEST(ServerRateLimits, InstancesLearnTheLimitAndItsEndFromReports) {
  LimitFleet fleet({.instances = 3, .demand = 0});
  fleet.Run(milliseconds(200));
  fleet.Request(0, kTier);
  fleet.Run(milliseconds(200));
  CHECK(fleet.limits(1).IsLimited(kServer));
  CHECK(fleet.limits(2).IsLimited(kServer));
  fleet.Restart(1);
  CHECK(!fleet.limits(1).IsLimited(kServer));
  fleet.Run(milliseconds(200));
  CHECK(fleet.limits(1).IsLimited(kServer));
  fleet.SetLimit(std::nullopt);
  fleet.Run(seconds(5));
  CHECK(fleet.Request(0, kTier) || fleet.Request(1, kTier) ||
        fleet.Request(2, kTier));
  fleet.Run(milliseconds(200));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(!fleet.limits(i).IsLimited(kServer));
  }
}

// Guards against late responses and repeated reports that bring back a limit
// that has ended.
TEST(ServerRateLimits, OldObservationsDoNotBringALimitBack) {
  Single instance(2);
  const TimePoint ended = instance.now + seconds(2);
  instance.limits.Observe(kServer, std::nullopt, ended, ended);
  CHECK(!instance.limits.IsLimited(kServer));
  instance.limits.Observe(kServer, 2, instance.now + seconds(1),
                          ended + seconds(1));
  CHECK(!instance.limits.IsLimited(kServer));
  const std::vector<RateLimitReport> old = {{.server_hash = kServer,
                                             .observation = 1,
                                             .per_second = 2,
                                             .age = seconds(3)}};
  instance.limits.Merge("b", old, false, ended + seconds(1));
  CHECK(!instance.limits.IsLimited(kServer));
  instance.limits.Merge("b", old, false, ended + seconds(10));
  CHECK(!instance.limits.IsLimited(kServer));
}

TEST(ServerRateLimits, ANewLifetimeOfAServerHasNoLimit) {
  CHECK(LifetimeHash("engine-1", 1) != LifetimeHash("engine-1", 2));
  CHECK(LifetimeHash("engine-1", 1) != LifetimeHash("engine-2", 1));
}

TEST(ServerRateLimits, HugeLimitsAreKept) {
  Single instance(std::numeric_limits<double>::max());
  CHECK(instance.limits.MaySend(kServer, kTier, instance.now + seconds(1)));
}

// Guards against less urgent requests that use up the limit while more urgent
// ones are refused at another instance.
TEST(ServerRateLimits, WhatIsAllowedGoesToTheMostUrgentAtAnyInstance) {
  LimitFleet fleet({.instances = 3, .limit = 0.5, .demand = 0});
  fleet.Request(0, kTier);
  fleet.Run(milliseconds(200));
  int less_urgent = 0;
  int urgent = 0;
  for (int round = 0; round < 400; ++round) {
    for (const std::size_t index : {0, 1, 2}) {
      less_urgent += fleet.Request(index, kTier + 1) ? 1 : 0;
    }
    urgent += fleet.Request(2, kTier) ? 1 : 0;
    fleet.Run(kTick);
  }
  CHECK(urgent >= 3);
  CHECK(less_urgent <= urgent / 2);
}

// Guards against a peer's process that restarts, numbers its observations anew
// and is not believed.
TEST(ServerRateLimits, ObservationOfARestartedPeerIsNew) {
  ServerRateLimits limits("a");
  const TimePoint now = TimePoint{} + std::chrono::hours(1);
  RateLimitReport report{
      .server_hash = kServer, .observation = 1, .per_second = 2};
  limits.Merge("b", {report}, true, now);
  report.per_second.reset();
  limits.Merge("b", {report}, true, now + seconds(5));
  CHECK(!limits.IsLimited(kServer));
}

TEST(ServerRateLimits, LimitsOfServersThatAreGoneExpire) {
  Single instance(2);
  instance.limits.Expire({kServer}, instance.now + std::chrono::hours(2));
  CHECK(!instance.limits.empty());
  instance.limits.Expire({}, instance.now + seconds(10));
  CHECK(!instance.limits.empty());
  instance.limits.Expire({}, instance.now + std::chrono::hours(2));
  CHECK(instance.limits.empty());
}
