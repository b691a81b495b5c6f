// Tests that one instance at a time holds the duties, under faults of the
// store, the network and the processes.
#include <array>
#include <memory>
#include <string>
#include <vector>

#include "app/duty_service.h"
#include "app/paced_duty_calls.h"
#include "core/store_revision.h"
#include "tests/duty_platform.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kSilence = milliseconds(650);

// Calls the platform twice a second while it may.
class ProbeTask : public DutyTask {
 public:
  explicit ProbeTask(DutyCalls& calls) : calls(calls) {}

  void Tick(DutyTenure& tenure, TimePoint now) override {
    if (this->calls.is_busy() || now < this->next_at) {
      return;
    }
    const auto grant = tenure.Grant(now);
    if (!grant) {
      return;
    }
    this->next_at = now + milliseconds(500);
    this->calls.SendUsage(
        *grant, {.window = now.time_since_epoch() / seconds(5)},
        [this, &tenure, token = grant->token, now](DutyCallResult result) {
          if (result == DutyCallResult::kAccepted) {
            ++this->accepted;
          } else if (result == DutyCallResult::kRejected) {
            tenure.OnFenced(token, now);
          }
        });
  }
  [[nodiscard]] bool is_idle() const override { return !this->calls.is_busy(); }

  int accepted = 0;

 private:
  DutyCalls& calls;
  TimePoint next_at;
};

struct Instance {
  Instance(DutyPlatform& platform, const std::string& name, std::uint64_t seed)
      : name(name),
        log(name, LogFormat::kJson, "off"),
        store(platform, faults),
        calls(platform, faults, name),
        task(calls),
        service({.instance = name, .process = seed}, seed, store, log,
                [&platform] { return platform.now(); }) {
    this->service.AddTask(this->task);
  }

  std::string name;
  EventLog log;
  DutyFaults faults;
  FakeLeaseStore store;
  FakeDutyCalls calls;
  ProbeTask task;
  DutyService service;
  // When each other instance was heard last.
  std::map<std::string, TimePoint> heard;
};

// Instances that report to each other under a virtual clock.
class Fleet {
 public:
  explicit Fleet(int size, std::uint64_t seed = 1) : platform(seed) {
    for (int i = 0; i < size; ++i) {
      this->Start("node-" + std::to_string(i));
    }
  }

  void Start(const std::string& name) {
    this->instances.push_back(
        std::make_unique<Instance>(this->platform, name, ++this->processes));
  }
  void Kill(const Instance* victim) {
    std::erase_if(this->instances, [victim](const auto& instance) {
      return instance.get() == victim;
    });
  }
  void Run(Duration time) {
    for (const TimePoint end = this->platform.now() + time;
         this->platform.now() < end;) {
      this->platform.Advance(kTick);
      this->Tick();
    }
  }
  [[nodiscard]] Instance* holder() const {
    Instance* found = nullptr;
    for (const auto& instance : this->instances) {
      if (instance->service.Grant(this->platform.now())) {
        CHECK_TEXT(found == nullptr, "two instances may act");
        found = instance.get();
      }
    }
    return found;
  }
  // Runs until there is a holder other than this one; returns the time it took.
  Duration AwaitHolder(const Instance* other_than = nullptr) {
    const TimePoint start = this->platform.now();
    while (this->platform.now() - start < seconds(60)) {
      const Instance* now_holding = this->holder();
      if (now_holding != nullptr && now_holding != other_than) {
        break;
      }
      this->Run(kTick);
    }
    return this->platform.now() - start;
  }
  void CheckRules() const {
    CHECK_TEXT(this->platform.violations.empty(),
               this->platform.violations.empty()
                   ? ""
                   : this->platform.violations.front().c_str());
  }

  DutyPlatform platform;
  std::vector<std::unique_ptr<Instance>> instances;

 private:
  void Tick() {
    const TimePoint now = this->platform.now();
    for (const auto& instance : this->instances) {
      if (instance->faults.is_frozen) {
        continue;
      }
      std::vector<std::string> peers;
      for (const auto& peer : this->instances) {
        if (peer == instance) {
          continue;
        }
        if (!peer->faults.is_frozen && !peer->faults.is_peer_cut &&
            !instance->faults.is_peer_cut) {
          instance->heard[peer->name] = now;
          instance->service.OnHolderReport(peer->name, peer->service.token(now),
                                           peer->service.LeaseAge(now), now);
        }
        if (instance->heard.contains(peer->name) &&
            now - instance->heard[peer->name] < kSilence) {
          peers.push_back(peer->name);
        }
      }
      instance->service.SetPeers(peers);
      instance->calls.Tick(now);
      instance->service.Tick(now);
    }
  }

  std::uint64_t processes = 0;
};

}  // namespace

TEST_GROUP(DutyLease){};

// Guards against a token that a JSON number can't represent, and against one
// that doesn't order the eras.
TEST(DutyLease, TokenHasEraAboveCount) {
  LONGS_EQUAL(5, *MakeFencingToken(*MakeRevision(0, 5)));
  LONGS_EQUAL((std::uint64_t{2} << 40U) + 5,
              *MakeFencingToken(*MakeRevision(2, 5)));
  CHECK(*MakeFencingToken(*MakeRevision(kMaxStoreEra, 1)) < std::uint64_t{1}
                                                                << 52U);
  CHECK(!MakeFencingToken(*MakeRevision(0, std::uint64_t{1} << 40U)));
  CHECK(!MakeFencingToken(0));
}

// Guards against a herd at the start, and against calls that a calm day doesn't
// need.
TEST(DutyLease, OneHolderAndFewCallsOnACalmDay) {
  Fleet fleet(91);
  fleet.Run(seconds(5));
  CHECK(fleet.holder() == nullptr);
  CHECK(fleet.AwaitHolder() < seconds(2));
  fleet.Run(seconds(20));
  LONGS_EQUAL(1, fleet.platform.calls["commit"]);
  CHECK(fleet.platform.calls["read"] <= 3);
  CHECK(fleet.platform.calls["renew"] <= 21);
  fleet.CheckRules();
}

// Guards against a holder that never ends, and against one that takes longer
// than the reports can wait.
TEST(DutyLease, AnotherInstanceFollowsAKilledHolder) {
  Fleet fleet(12);
  fleet.AwaitHolder();
  fleet.Run(seconds(3));
  const std::uint64_t token =
      fleet.holder()->service.token(fleet.platform.now());
  const int reads = fleet.platform.calls["read"];
  fleet.Kill(fleet.holder());
  CHECK(fleet.AwaitHolder() < milliseconds(3800));
  CHECK(fleet.holder()->service.token(fleet.platform.now()) > token);
  CHECK(fleet.platform.calls["read"] - reads <= 5);
  fleet.Run(seconds(10));
  fleet.CheckRules();
}

// Guards against a holder that acts when it wakes, since its renewal had
// succeeded before.
TEST(DutyLease, FrozenHolderDoesNotActWhenItWakes) {
  Fleet fleet(5);
  fleet.AwaitHolder();
  Instance* const frozen = fleet.holder();
  // Until a renewal is on its way.
  while (!frozen->store.is_busy()) {
    fleet.platform.Advance(milliseconds(1));
    frozen->service.Tick(fleet.platform.now());
  }
  frozen->faults.is_frozen = true;
  CHECK(fleet.AwaitHolder(frozen) < seconds(5));
  fleet.Run(seconds(2));
  frozen->faults.is_frozen = false;
  CHECK(!frozen->service.Grant(fleet.platform.now()));
  fleet.Run(seconds(12));
  CHECK(fleet.holder() != frozen);
  fleet.CheckRules();
}

// Guards against two holders, and against none, when the store is out of the
// holder's reach.
TEST(DutyLease, HolderWithoutTheStoreStops) {
  for (const bool is_cut : {true, false}) {
    Fleet fleet(5);
    fleet.AwaitHolder();
    fleet.Run(seconds(1));
    Instance* const former = fleet.holder();
    (is_cut ? former->faults.is_store_cut : former->faults.is_turned_away) =
        true;
    CHECK(fleet.AwaitHolder(former) < seconds(5));
    CHECK(!former->service.Grant(fleet.platform.now()));
    fleet.Run(seconds(20));
    CHECK(fleet.holder() != former);
    fleet.CheckRules();
  }
}

// Guards against a claim by an instance that hears no holder, and against many
// reads by it.
TEST(DutyLease, InstanceWithoutPeersClaimsNothing) {
  Fleet fleet(5);
  fleet.AwaitHolder();
  Instance* const holder = fleet.holder();
  for (const auto& instance : fleet.instances) {
    if (instance.get() != holder) {
      instance->faults.is_peer_cut = true;
      break;
    }
  }
  const int reads = fleet.platform.calls["read"];
  fleet.Run(seconds(30));
  CHECK(fleet.holder() == holder);
  CHECK(fleet.platform.calls["read"] - reads <= 9);
  holder->faults.is_peer_cut = true;
  fleet.Run(seconds(10));
  CHECK(fleet.holder() == holder);
  fleet.CheckRules();
}

// Guards against a claim that is used although it was given up, and against one
// that is lost although it succeeded.
TEST(DutyLease, LostClaimsAreSettled) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(4, seed);
    for (const auto& instance : fleet.instances) {
      instance->faults.lost_store_calls = 0.6;
    }
    fleet.Run(seconds(60));
    fleet.CheckRules();
    for (const auto& instance : fleet.instances) {
      instance->faults.lost_store_calls = 0;
    }
    CHECK(fleet.AwaitHolder() < seconds(20));
    fleet.CheckRules();
  }
}

// Guards against a duty that outlives its lease when the store comes back from
// a copy without it, and against a token that is given out twice.
TEST(DutyLease, RestoredStoreEndsTheTerm) {
  Fleet fleet(5);
  fleet.platform.SaveCopy();
  fleet.AwaitHolder();
  fleet.Run(seconds(2));
  Instance* const former = fleet.holder();
  const std::uint64_t token = former->service.token(fleet.platform.now());
  fleet.platform.RestoreCopy();
  CHECK(fleet.AwaitHolder(former) < seconds(7));
  CHECK(fleet.holder()->service.token(fleet.platform.now()) > token);
  fleet.Run(seconds(20));
  fleet.CheckRules();
}

// Guards against calls after the platform has rejected one, and against a duty
// that nobody takes.
TEST(DutyLease, RejectedHolderGivesUp) {
  Fleet fleet(3);
  fleet.AwaitHolder();
  Instance* const former = fleet.holder();
  const std::uint64_t token = former->service.token(fleet.platform.now());
  former->service.OnFenced(token, fleet.platform.now());
  CHECK(!former->service.Grant(fleet.platform.now()));
  CHECK(fleet.AwaitHolder(former) < seconds(8));
  fleet.CheckRules();
}

// Guards against a duty that waits for the end of the lease of a holder that
// stops, and against a stop amid a call.
TEST(DutyLease, PlannedStopHandsOver) {
  Fleet fleet(5);
  fleet.AwaitHolder();
  Instance* const former = fleet.holder();
  former->service.StartStop(fleet.platform.now());
  fleet.Run(milliseconds(300));
  CHECK(former->service.IsStopped(fleet.platform.now()));
  CHECK(!fleet.platform.HasKey("duties/holder"));
  CHECK(fleet.AwaitHolder(former) < seconds(4));
  fleet.Run(seconds(20));
  CHECK(fleet.holder() != former);
  fleet.CheckRules();
}

// Guards against a process that continues the term of its predecessor.
TEST(DutyLease, NewProcessWaitsTwoLeases) {
  Fleet fleet(1);
  fleet.AwaitHolder();
  fleet.Kill(fleet.holder());
  fleet.Start("node-0");
  fleet.Run(milliseconds(5900));
  CHECK(fleet.holder() == nullptr);
  CHECK(fleet.AwaitHolder() < seconds(2));
}

// Guards against tokens, orders of holders and calls that the rules forbid,
// under faults that no test above combines.
TEST(DutyLease, RulesHoldUnderRandomFaults) {
  int accepted = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fleet fleet(6, seed);
    DutyPlatform& platform = fleet.platform;
    for (int step = 0; step < 40; ++step) {
      const auto pick = static_cast<std::size_t>(
          platform.Random(Duration(0), Duration(5)).count());
      const std::size_t index = pick % fleet.instances.size();
      Instance& instance = *fleet.instances[index];
      // NOLINTNEXTLINE(readability-magic-numbers)
      switch (platform.Random(Duration(0), Duration(10)).count()) {
        case 0:
          instance.faults.is_store_cut ^= true;
          break;
        case 1:
          instance.faults.is_frozen ^= true;
          break;
        case 2:
          instance.faults.is_peer_cut ^= true;
          break;
        case 3:
          instance.faults.is_turned_away ^= true;
          break;
        case 4:
          instance.faults.lost_store_calls = platform.Chance(0.5) ? 0.4 : 0;
          break;
        case 5:
          instance.faults.lost_api_calls = platform.Chance(0.5) ? 0.4 : 0;
          break;
        case 6: {
          const std::string name = instance.name;
          fleet.Kill(&instance);
          fleet.Start(name);
          break;
        }
        case 7:
          platform.SaveCopy();
          break;
        case 8:
          if (platform.Chance(0.5)) {
            platform.RestoreCopy();
          }
          break;
        default:
          instance.faults = {};
          break;
      }
      fleet.Run(platform.Random(milliseconds(100), seconds(4)));
      fleet.CheckRules();
    }
    accepted += static_cast<int>(platform.accepted.size());
  }
  CHECK(accepted > 200);
}
