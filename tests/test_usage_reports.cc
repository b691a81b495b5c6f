// Tests that each window of usage is reported once, in time and with the right
// counts, under faults of the store, the platform, the network, the processes
// and the clocks.
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/duty_service.h"
#include "app/paced_duty_calls.h"
#include "app/usage_reporter.h"
#include "tests/duty_platform.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kSilence = milliseconds(650);
constexpr Duration kWindow = seconds(5);
constexpr Duration kDue = seconds(10);
// The true wall time at the virtual clock's zero.
constexpr Duration kWallStart = std::chrono::hours(400000);

struct Instance {
  Instance(DutyPlatform& platform, const std::string& name, std::uint64_t seed,
           Duration clock_error)
      : name(name),
        process(seed),
        clock_error(clock_error),
        log(name, LogFormat::kJson, "off"),
        store(platform, faults),
        task_store(platform, faults, milliseconds(1500)),
        calls(platform, faults, name),
        paced_calls(calls, 50),
        service({.instance = name, .process = seed}, seed, store, log,
                [&platform] { return platform.now(); }),
        usage({.instance = name, .process = seed},
              {.store = task_store,
               .calls = paced_calls,
               .log = log,
               .read_wall_clock =
                   [this, &platform] {
                     return kWallStart + platform.now().time_since_epoch() +
                            this->clock_error;
                   },
               .read_clock = [&platform] { return platform.now(); },
               .hand_over =
                   [this](TimePoint now) { this->service.HandOver(now); }}) {
    this->service.AddTask(this->usage);
  }

  std::string name;
  std::uint64_t process;
  Duration clock_error;
  // It runs a release without duties.
  bool is_former = false;
  EventLog log;
  DutyFaults faults;
  FakeLeaseStore store;
  FakeLeaseStore task_store;
  FakeDutyCalls calls;
  PacedDutyCalls paced_calls;
  DutyService service;
  UsageReporter usage;
  std::uint64_t known_era = 0;
  TimePoint started_at;
  // When each other instance was heard last, and the senders that have a
  // connection to this process.
  std::map<std::string, TimePoint> heard;
  std::set<std::uint64_t> connected;
};

// Instances that count requests and report to each other.
class Fleet {
 public:
  explicit Fleet(int size, std::uint64_t seed = 1) : platform(seed) {
    this->platform.requires_records = true;
    for (int i = 0; i < size; ++i) {
      this->Start("node-" + std::to_string(i));
    }
  }

  Instance& Start(const std::string& name, Duration clock_error = {}) {
    this->instances.push_back(std::make_unique<Instance>(
        this->platform, name, ++this->processes, clock_error));
    this->instances.back()->started_at = this->platform.now();
    return *this->instances.back();
  }
  void Kill(const Instance* victim) {
    const std::string name = victim->name;
    std::erase_if(this->instances, [victim](const auto& instance) {
      return instance.get() == victim;
    });
    for (const auto& instance : this->instances) {
      instance->usage.OnPeerGone(name, name);
    }
  }
  void Run(Duration time) {
    for (const TimePoint end = this->platform.now() + time;
         this->platform.now() < end;) {
      this->platform.Advance(kTick);
      this->Tick();
    }
  }
  [[nodiscard]] Instance* holder() const {
    for (const auto& instance : this->instances) {
      if (instance->service.Grant(this->platform.now())) {
        return instance.get();
      }
    }
    return nullptr;
  }
  Instance* AwaitHolder() {
    for (int i = 0; i < 1000 && this->holder() == nullptr; ++i) {
      this->Run(kTick);
    }
    return this->holder();
  }
  [[nodiscard]] std::int64_t CurrentWindow() const {
    return (kWallStart + this->platform.now().time_since_epoch()) / kWindow;
  }
  [[nodiscard]] TimePoint EndOf(std::int64_t window) const {
    return TimePoint((window + 1) * kWindow - kWallStart);
  }
  // Runs until just after the next window has begun.
  void RunToNextWindow() {
    const std::int64_t window = this->CurrentWindow();
    while (this->CurrentWindow() == window) {
      this->Run(kTick);
    }
  }
  [[nodiscard]] const AcceptedUsage* Find(std::int64_t window) const {
    for (const AcceptedUsage& item : this->platform.accepted) {
      if (item.report.window == window) {
        return &item;
      }
    }
    return nullptr;
  }
  // Checks that the windows are reported in time, with counts within 5 % and
  // one request of the truth.
  void CheckWindows(std::int64_t from, std::int64_t to,
                    bool checks_counts = true) {
    for (std::int64_t window = from; window <= to; ++window) {
      const AcceptedUsage* const found = this->Find(window);
      const std::string name =
          "window " + std::to_string(window - from) + " of the check";
      CHECK_TEXT(found != nullptr, (name + " is missing").c_str());
      CHECK_TEXT(found->at <= this->EndOf(window) + kDue,
                 (name + " is late").c_str());
      if (!checks_counts) {
        continue;
      }
      for (const auto& [customer, requests] : this->truth[window]) {
        const auto counted = found->report.requests_by_customer.find(customer);
        const double count = counted == found->report.requests_by_customer.end()
                                 ? 0
                                 : static_cast<double>(counted->second);
        CHECK_TEXT(std::abs(count - requests) <= 0.05 * requests + 1,
                   (name + " has " + std::to_string(count) + " of " +
                    std::to_string(requests) + " for " + customer)
                       .c_str());
      }
    }
  }
  void CheckRules() const {
    CHECK_TEXT(this->platform.violations.empty(),
               this->platform.violations.empty()
                   ? ""
                   : this->platform.violations.front().c_str());
  }

  DutyPlatform platform;
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<std::int64_t, std::map<std::string, double>> truth;

 private:
  void Tick() {
    const TimePoint now = this->platform.now();
    const bool reports = now.time_since_epoch() % kReportInterval < kTick;
    for (const auto& instance : this->instances) {
      if (instance->faults.is_frozen) {
        continue;
      }
      if (!instance->is_former) {
        // Some 5 requests per second, of three customers.
        for (int customer = 0; customer < 3; ++customer) {
          if (this->platform.Chance(0.08 * (customer + 1))) {
            const std::string name = "customer-" + std::to_string(customer);
            instance->usage.Count(name);
            ++this->truth[this->CurrentWindow()][name];
          }
        }
      }
      if (reports) {
        this->SendReports(*instance, now);
      }
    }
    for (const auto& instance : this->instances) {
      if (!instance->faults.is_frozen && !instance->is_former) {
        this->TickInstance(*instance, now);
      }
    }
  }

  void SendReports(Instance& sender, TimePoint now) {
    for (const auto& receiver : this->instances) {
      if (receiver.get() == &sender || sender.faults.is_peer_cut ||
          receiver->faults.is_peer_cut || receiver->faults.is_frozen) {
        receiver->connected.erase(sender.process);
        continue;
      }
      receiver->heard[sender.name] = now;
      if (sender.is_former || receiver->is_former) {
        continue;
      }
      const bool is_first = receiver->connected.insert(sender.process).second;
      if (is_first) {
        sender.usage.ForgetReceiver(receiver->name);
      }
      receiver->usage.OnPeerHeard(sender.name, sender.process, now);
      const bool is_receiver =
          sender.service.IsHolderOrCandidate(receiver->name, now);
      if (!is_first && !is_receiver && !sender.service.TellsAll(now)) {
        continue;
      }
      DutyState state = sender.usage.MakeState();
      state.token = sender.service.token(now);
      state.lease_age = sender.service.LeaseAge(now);
      if (is_receiver) {
        state.usage = sender.usage.MakeUpdate(receiver->name);
      }
      receiver->service.OnHolderReport(sender.name, state.token,
                                       state.lease_age, now);
      receiver->usage.OnPeerState(sender.name, state, now);
    }
  }

  void TickInstance(Instance& instance, TimePoint now) {
    std::vector<std::string> peers;
    for (const auto& peer : this->instances) {
      if (peer.get() != &instance && !peer->is_former &&
          instance.heard.contains(peer->name) &&
          now - instance.heard[peer->name] < kSilence) {
        peers.push_back(peer->name);
      }
    }
    instance.service.SetPeers(peers);
    const std::uint64_t era =
        std::max(instance.store.era(), instance.task_store.era());
    if (era > instance.known_era) {
      instance.known_era = era;
      instance.service.NoteEra(era, now);
      instance.usage.OnStoreRestored();
    }
    instance.usage.set_holder_heard_at(
        instance.service.IsHolder(now)
            ? now
            : std::max(instance.service.holder_heard_at(),
                       instance.started_at + seconds(6)));
    instance.task_store.Tick(now);
    instance.paced_calls.Tick(now);
    instance.service.Tick(now);
  }

  std::uint64_t processes = 0;
};

}  // namespace

TEST_GROUP(UsageReports){};

// Guards against windows that are missing, late or wrong while nothing fails,
// and against calls to the store that nothing needs.
TEST(UsageReports, CalmDay) {
  Fleet fleet(12);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  fleet.platform.calls.clear();
  fleet.Run(seconds(50));
  fleet.RunToNextWindow();
  const std::int64_t last = fleet.CurrentWindow() - 1;
  fleet.Run(seconds(2));
  fleet.CheckWindows(first, last);
  // A window is reported soon, since all instances have told their counts.
  CHECK(fleet.Find(last)->at < fleet.EndOf(last) + seconds(1));
  const auto windows = static_cast<int>(last - first + 2);
  CHECK(fleet.platform.calls["commit"] <= windows);
  LONGS_EQUAL(0, fleet.platform.calls["read"]);
  fleet.CheckRules();
}

// Guards against counts that die with the holder, and against windows that the
// next one doesn't know of.
TEST(UsageReports, HolderKilled) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(12, seed);
    fleet.AwaitHolder();
    fleet.RunToNextWindow();
    const std::int64_t first = fleet.CurrentWindow();
    fleet.Run(seconds(7) + fleet.platform.Random(Duration(0), kWindow));
    fleet.Kill(fleet.holder());
    fleet.Run(seconds(30));
    fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
    fleet.CheckRules();
  }
}

// Guards against a second report for a window whose first one was fixed by the
// record, and against none.
TEST(UsageReports, HolderKilledBetweenRecordAndCall) {
  Fleet fleet(6);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t window = fleet.CurrentWindow();
  fleet.holder()->faults.is_api_cut = true;
  while (!fleet.platform.HasKey("duties/usage/" + std::to_string(window))) {
    fleet.Run(kTick);
  }
  const StoreItem record =
      fleet.platform.Read("duties/usage/" + std::to_string(window));
  fleet.Kill(fleet.holder());
  fleet.Run(seconds(20));
  fleet.CheckWindows(window, window + 1);
  for (const auto& [customer, requests] :
       fleet.Find(window)->report.requests_by_customer) {
    CHECK(record.value.find(std::to_string(requests)) != std::string::npos);
  }
  fleet.CheckRules();
}

// Guards against a report under the token of a lease that has ended.
TEST(UsageReports, HolderFrozenOverItsLease) {
  Fleet fleet(6);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  Instance* const frozen = fleet.holder();
  while (!frozen->store.is_busy()) {
    fleet.platform.Advance(milliseconds(1));
    frozen->service.Tick(fleet.platform.now());
  }
  frozen->faults.is_frozen = true;
  fleet.Run(seconds(8));
  frozen->faults.is_frozen = false;
  fleet.Run(seconds(25));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  fleet.CheckRules();
}

// Guards against a holder without the store that keeps the others from
// reporting.
TEST(UsageReports, HolderWithoutTheStore) {
  for (const bool is_cut : {true, false}) {
    Fleet fleet(6);
    fleet.AwaitHolder();
    fleet.RunToNextWindow();
    const std::int64_t first = fleet.CurrentWindow();
    fleet.Run(seconds(3));
    Instance* const former = fleet.holder();
    (is_cut ? former->faults.is_store_cut : former->faults.is_turned_away) =
        true;
    fleet.Run(seconds(30));
    fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
    CHECK(fleet.holder() != former);
    fleet.CheckRules();
  }
}

// Guards against a holder without the platform that keeps the duty for good.
TEST(UsageReports, HolderWithoutThePlatformHandsOver) {
  Fleet fleet(6);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  Instance* const former = fleet.holder();
  former->faults.is_api_cut = true;
  // Two deadlines pass after 10 s and 15 s.
  fleet.Run(seconds(13));
  CHECK(fleet.holder() == former);
  const std::int64_t first = fleet.CurrentWindow();
  fleet.Run(seconds(30));
  CHECK(fleet.holder() != nullptr);
  CHECK(fleet.holder() != former);
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  // What was recorded meanwhile is reported, too, if late.
  CHECK(fleet.Find(first - 3) != nullptr);
  fleet.CheckRules();
}

// Guards against windows that wait for an instance that is cut off, and against
// counts that are lost although the store is in its reach.
TEST(UsageReports, CutOffFromPeers) {
  for (const bool cuts_holder : {true, false}) {
    Fleet fleet(6);
    fleet.AwaitHolder();
    fleet.RunToNextWindow();
    const std::int64_t first = fleet.CurrentWindow();
    Instance* cut = fleet.holder();
    if (!cuts_holder) {
      cut = fleet.instances[0].get() == cut ? fleet.instances[1].get()
                                            : fleet.instances[0].get();
    }
    fleet.Run(seconds(1));
    cut->faults.is_peer_cut = true;
    fleet.Run(seconds(30));
    cut->faults.is_peer_cut = false;
    fleet.Run(seconds(15));
    fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
    fleet.CheckRules();
  }
}

// Guards against double or different reports when a claim, a record or a report
// is executed seconds after its response was given up.
TEST(UsageReports, LostResponses) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(6, seed);
    for (const auto& instance : fleet.instances) {
      instance->faults.lost_store_calls = 0.15;
      instance->faults.lost_api_calls = 0.3;
    }
    fleet.Run(seconds(60));
    fleet.CheckRules();
    for (const auto& instance : fleet.instances) {
      instance->faults.lost_store_calls = 0;
      instance->faults.lost_api_calls = 0;
    }
    fleet.AwaitHolder();
    const std::int64_t first = fleet.CurrentWindow();
    fleet.Run(seconds(30));
    fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
    fleet.CheckRules();
  }
}

// Guards against a second report for a window whose record the store has lost,
// and against windows after the restoration that are not reported.
TEST(UsageReports, RestoredStore) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(6, seed);
    fleet.AwaitHolder();
    fleet.Run(seconds(12));
    fleet.platform.SaveCopy();
    fleet.Run(fleet.platform.Random(seconds(1), seconds(12)));
    fleet.platform.RestoreCopy();
    const std::int64_t first = fleet.CurrentWindow() + 1;
    fleet.Run(seconds(40));
    fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
    fleet.CheckRules();
  }
}

// Guards against reports after a restart that contradict those before, and
// against windows that are never reported since nobody counted their beginning.
TEST(UsageReports, AllProcessesDownInMidWindow) {
  Fleet fleet(6);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  fleet.Run(seconds(7));
  fleet.instances.clear();
  fleet.Run(seconds(1));
  for (int i = 0; i < 6; ++i) {
    fleet.Start("node-" + std::to_string(i));
  }
  fleet.Run(seconds(40));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3, false);
  fleet.CheckWindows(first + 2, fleet.CurrentWindow() - 3);
  fleet.CheckRules();
}

// Guards against windows that wait for instances of a release that tells no
// counts, and against candidates that are no candidates.
TEST(UsageReports, FormerReleases) {
  Fleet fleet(9);
  for (int i = 0; i < 6; ++i) {
    fleet.instances[static_cast<std::size_t>(i)]->is_former = true;
  }
  CHECK(!fleet.AwaitHolder()->is_former);
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  fleet.Run(seconds(12));
  fleet.Kill(fleet.holder());
  fleet.Run(seconds(30));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  CHECK(fleet.Find(first)->at < fleet.EndOf(first) + seconds(1));
  fleet.CheckRules();
}

// Guards against a report that is given up, or sent as fast as it is refused.
TEST(UsageReports, PlatformRefusesTooManyCalls) {
  Fleet fleet(4);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  fleet.Run(seconds(5));
  fleet.platform.is_api_throttled = true;
  const auto sent = fleet.platform.sent_count();
  fleet.Run(seconds(6));
  CHECK(fleet.platform.sent_count() - sent <= 13);
  fleet.platform.is_api_throttled = false;
  fleet.Run(seconds(20));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  fleet.CheckRules();
}

// Guards against a report that is sent although its record had no response, or
// was refused.
TEST(UsageReports, NothingIsSentBeforeItsRecord) {
  Fleet fleet(4);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  Instance* const holder = fleet.holder();
  // The record has no response. A renewal that has none is repeated in time.
  fleet.Run(milliseconds(4850));
  holder->faults.lost_store_calls = 1;
  for (int i = 0; i < 20 && !holder->task_store.is_busy(); ++i) {
    fleet.Run(kTick);
  }
  CHECK(holder->task_store.is_busy());
  holder->faults.lost_store_calls = 0;
  fleet.Run(seconds(20));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  fleet.CheckRules();
}

// Guards against calls of a holder whose report was rejected since the platform
// has seen a higher token.
TEST(UsageReports, RejectedReportEndsTheTerm) {
  Fleet fleet(4);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  Instance* const former = fleet.holder();
  const std::uint64_t token = former->service.token(fleet.platform.now());
  fleet.platform.requires_records = false;
  fleet.platform.Usage("other", token + 1, {.window = 1});
  fleet.Run(seconds(6));
  LONGS_EQUAL(1, fleet.platform.rejected_usage);
  CHECK(!former->service.IsHolder(fleet.platform.now()));
  CHECK(fleet.AwaitHolder() != former);
  fleet.Run(seconds(20));
  fleet.CheckRules();
}

// Guards against counts in the wrong window after the steps of wall clocks, and
// against windows that a wrong clock closes early.
TEST(UsageReports, WallClocksStep) {
  Fleet fleet(5);
  fleet.Start("node-5", seconds(2));
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  fleet.Run(seconds(7));
  fleet.holder()->clock_error = -seconds(2);
  fleet.Run(seconds(6));
  for (const auto& instance : fleet.instances) {
    if (instance.get() != fleet.holder()) {
      instance->clock_error = seconds(2);
      break;
    }
  }
  fleet.Run(seconds(20));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  fleet.CheckRules();
}

// Guards against a duty that is handed over amid a call, and against counts of
// the instance that stops that are lost.
TEST(UsageReports, PlannedStop) {
  Fleet fleet(6);
  fleet.AwaitHolder();
  fleet.RunToNextWindow();
  const std::int64_t first = fleet.CurrentWindow();
  fleet.Run(seconds(8));
  Instance* const stopping = fleet.holder();
  stopping->service.StartStop(fleet.platform.now());
  fleet.Run(seconds(2));
  CHECK(stopping->service.IsStopped(fleet.platform.now()));
  CHECK(stopping->usage.HasToldCounts());
  fleet.Kill(stopping);
  fleet.Run(seconds(20));
  fleet.CheckWindows(first, fleet.CurrentWindow() - 3);
  fleet.CheckRules();
}

// Guards against all that must never happen, under faults that no test above
// combines: a token used twice, holders in the order A, B, A within a lease,
// two different reports for a window, a call after the 409 to its token.
TEST(UsageReports, RulesHoldUnderRandomFaults) {
  int accepted = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Fleet fleet(6, seed);
    DutyPlatform& platform = fleet.platform;
    for (int step = 0; step < 60; ++step) {
      const auto pick = static_cast<std::size_t>(
          platform.Random(Duration(0), Duration(5)).count());
      Instance& instance = *fleet.instances[pick];
      switch (platform.Random(Duration(0), Duration(14)).count()) {
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
        case 9:
          instance.clock_error =
              platform.Random(-milliseconds(2000), milliseconds(2000));
          break;
        case 10:
          instance.faults.is_api_cut ^= true;
          break;
        case 11:
          platform.is_api_throttled = platform.Chance(0.3);
          break;
        case 12:
          platform.is_store_down = platform.Chance(0.3);
          break;
        default:
          instance.faults = {};
          break;
      }
      fleet.Run(platform.Random(milliseconds(100), seconds(4)));
      CHECK_TEXT(platform.violations.empty(),
                 ("seed " + std::to_string(seed)).c_str());
      fleet.CheckRules();
    }
    accepted += static_cast<int>(platform.accepted.size());
  }
  CHECK(accepted > 1000);
}
