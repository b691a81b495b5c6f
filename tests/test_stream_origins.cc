// Tests of what instances know of the software that began a stream, on a
// virtual clock.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/software_history.h"
#include "core/stream_origins.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A fixed seed makes the result reproducible.
constexpr char kRapidCheckParameters[] = "seed=20261205 max_success=100";

constexpr Duration kWindow = seconds(30);
constexpr Duration kUpToDate{};
const std::vector<std::string> kServices = {"model"};
const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

using Servers = std::map<std::string, RegisteredServer>;

RegisteredServer Server(const std::string& id, const std::string& version,
                        std::uint64_t incarnation = 1) {
  return {.id = id,
          .incarnation = incarnation,
          .service = "model",
          .software_version = version};
}

std::uint64_t SoftwareOf(const std::string& version) {
  return SoftwareHash(Server("any", version));
}

// Updates the history as a process does that never stands still.
void Observe(SoftwareHistory& history, const Servers& servers, TimePoint from,
             TimePoint to) {
  for (TimePoint at = from; at < to; at += seconds(1)) {
    history.Update(servers, true, at);
  }
  history.Update(servers, true, to);
}

SoftwareHistory KnownHistory(const Servers& servers) {
  SoftwareHistory history;
  history.SetWindow(kWindow);
  Observe(history, servers, kStart, kStart + kWindow);
  return history;
}

// A stream that the property resumes.
struct BegunStream {
  std::uint64_t hash = 0;
  std::uint64_t software = 0;
  TimePoint begun_at;
};

// What happens to the instances of a fleet.
enum class FleetFault {
  kKills,  // One or all are killed and start again.
  // One is out of step with the others for seconds: it sees no change of the
  // servers, and no report reaches or leaves it.
  kOutOfStep,
};

// Instances that see the same servers, report to each other at each step, and
// suffer a kind of fault.
class ResumingFleet {
 public:
  ResumingFleet(std::uint64_t seed, FleetFault fault)
      : random(seed), fault(fault) {
    for (int i = 0; i < kInstances; ++i) {
      this->Restart(i);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->now += kStep;
      this->ChangeServers();
      if (this->fault == FleetFault::kKills) {
        this->KillInstances();
      } else {
        this->PutOutOfStep();
      }
      for (Instance& instance : this->instances) {
        this->UpdateServers(instance);
        instance.origins.Expire(kWindow, this->now);
      }
      // A kill and the resumption that follows it may precede the reports.
      this->BeginStreams();
      this->ResumeStreams();
      this->ExchangeReports();
      this->ResumeStreams();
    }
  }

  [[nodiscard]] int resumed() const { return this->resumed_count; }

 private:
  static constexpr int kInstances = 4;
  static constexpr int kSteps = 600;
  static constexpr Duration kStep = milliseconds(100);

  struct Instance {
    SoftwareHistory history;
    StreamOrigins origins;
    std::map<int, std::uint64_t> told;
    // Its copy of the directory.
    Servers servers;
    TimePoint servers_read_at;
    TimePoint out_of_step_until;
  };

  bool Happens(int one_in) { return this->random() % one_in == 0; }
  int Pick(std::size_t count) {
    return static_cast<int>(this->random() % count);
  }

  void Restart(int index) {
    this->instances[index] = {};
    this->instances[index].history.SetWindow(kWindow);
    // The others open new connections to it.
    for (Instance& other : this->instances) {
      other.told.erase(index);
    }
  }

  void ChangeServers() {
    if (this->servers.empty() || Happens(150)) {
      const std::string id = "s" + std::to_string(++this->last_server);
      const std::string version = "v" + std::to_string(this->Pick(3));
      this->servers[id] = Server(id, version);
    }
    if (this->servers.size() > 1 && Happens(200)) {
      this->servers.erase(
          std::next(this->servers.begin(), this->Pick(this->servers.size())));
    }
  }

  void KillInstances() {
    const bool all = Happens(300);
    for (int i = 0; i < kInstances; ++i) {
      if (all || Happens(200)) {
        this->Restart(i);
      }
    }
  }

  void PutOutOfStep() {
    const bool is_started = this->now > kStart + kStep;
    if (is_started && Happens(50)) {
      this->instances[this->Pick(kInstances)].out_of_step_until =
          this->now + milliseconds(this->Pick(8000));
    }
  }

  [[nodiscard]] bool IsInStep(const Instance& instance) const {
    return this->now >= instance.out_of_step_until;
  }

  void UpdateServers(Instance& instance) {
    if (this->IsInStep(instance)) {
      instance.servers = this->servers;
      instance.servers_read_at = this->now;
    }
    const bool is_current =
        this->now - instance.servers_read_at <= kMaxDirectoryAge;
    instance.history.Update(instance.servers, is_current, this->now);
  }

  void BeginStreams() {
    for (Instance& instance : this->instances) {
      const std::vector<std::uint64_t> excluded =
          instance.history.NewSoftware(kServices.front(), this->now);
      const auto server = std::next(instance.servers.begin(),
                                    this->Pick(instance.servers.size()));
      if (std::find(excluded.begin(), excluded.end(),
                    SoftwareHash(server->second)) != excluded.end()) {
        continue;
      }
      const StreamOrigin origin{.stream = this->random(),
                                .software = SoftwareHash(server->second)};
      instance.origins.Add(origin, this->now);
      this->streams.push_back({origin.stream, origin.software, this->now});
    }
  }

  void ResumeStreams() {
    std::erase_if(this->streams, [this](const BegunStream& stream) {
      return this->now - stream.begun_at >= kWindow;
    });
    for (int i = 0; i < 20; ++i) {
      const BegunStream& stream =
          this->streams[this->Pick(this->streams.size())];
      const Instance& instance = this->instances[this->Pick(kInstances)];
      std::optional<std::uint64_t> software =
          instance.origins.Find(stream.hash);
      if (!software) {
        software = instance.history.OnlySoftware(
            kServices, this->now - instance.servers_read_at, this->now);
      }
      if (software) {
        ++this->resumed_count;
        RC_ASSERT(*software == stream.software);
      }
    }
  }

  void ExchangeReports() {
    for (Instance& from : this->instances) {
      for (int to = 0; to < kInstances; ++to) {
        Instance& receiver = this->instances[to];
        if (&receiver == &from || !this->IsInStep(receiver) ||
            !this->IsInStep(from)) {
          continue;
        }
        if (!from.told.contains(to)) {
          receiver.history.Merge(from.history.Report(this->now), this->now);
        }
        std::uint64_t& told = from.told[to];
        if (!from.history.IsSettled(this->now - from.servers_read_at,
                                    this->now)) {
          receiver.origins.Merge(from.origins.AddedSince(told), this->now);
          told = from.origins.added_count();
        }
      }
    }
  }

  std::mt19937_64 random;
  FleetFault fault;
  TimePoint now = kStart;
  Servers servers;
  int last_server = 0;
  std::array<Instance, kInstances> instances;
  std::vector<BegunStream> streams;
  int resumed_count = 0;
};

}  // namespace

TEST_GROUP(StreamOrigins){
    void setup() override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

// Guards against streams of unknown origin that go on although two versions
// may have begun them.
TEST(StreamOrigins, TheOnlySoftwareIsKnownAfterTheWindow) {
  Servers servers = {{"a", Server("a", "v1")}, {"b", Server("b", "v1")}};
  SoftwareHistory history;
  history.SetWindow(kWindow);
  TimePoint now = kStart + kWindow - milliseconds(1);
  Observe(history, servers, kStart, now);
  CHECK(!history.OnlySoftware(kServices, kUpToDate, now));
  CHECK(!history.IsSettled(kUpToDate, now));
  now += milliseconds(1);
  history.Update(servers, true, now);
  CHECK(history.OnlySoftware(kServices, kUpToDate, now) == SoftwareOf("v1"));
  CHECK(history.IsSettled(kUpToDate, now));
  CHECK(!history.OnlySoftware({"other"}, kUpToDate, now));

  servers["c"] = Server("c", "v2");
  history.Update(servers, true, now);
  CHECK(!history.OnlySoftware(kServices, kUpToDate, now));
  CHECK(!history.IsSettled(kUpToDate, now));
  // The old version has left.
  servers.erase("a");
  servers.erase("b");
  Observe(history, servers, now + milliseconds(1), now + kWindow);
  now += kWindow;
  CHECK(!history.OnlySoftware(kServices, kUpToDate, now));
  now += milliseconds(1);
  history.Update(servers, true, now);
  CHECK(history.OnlySoftware(kServices, kUpToDate, now) == SoftwareOf("v2"));
}

// Guards against a restarted instance that refuses resumed streams although the
// others know that there was one version.
TEST(StreamOrigins, RestartedInstanceLearnsTheHistoryOfTheOthers) {
  const Servers servers = {{"a", Server("a", "v2")}};
  const TimePoint now = kStart + kWindow;
  for (const bool update_first : {true, false}) {
    SoftwareHistory restarted;
    restarted.SetWindow(kWindow);
    if (update_first) {
      restarted.Update(servers, true, now);
    }
    CHECK(!restarted.OnlySoftware(kServices, kUpToDate, now));
    restarted.Merge(KnownHistory(servers).Report(now), now);
    restarted.Update(servers, true, now);
    CHECK(restarted.OnlySoftware(kServices, kUpToDate, now) ==
          SoftwareOf("v2"));
    // Another one saw a version that has left.
    SoftwareHistory other = KnownHistory({{"b", Server("b", "v1")}});
    other.Update(servers, true, now);
    restarted.Merge(other.Report(now), now);
    CHECK(!restarted.OnlySoftware(kServices, kUpToDate, now));
  }
}

// Guards against an instance that was cut off and joins streams of a version
// that it did not hear of.
TEST(StreamOrigins, OutdatedDirectoryKnowsNoOnlySoftware) {
  const Servers servers = {{"a", Server("a", "v1")}};
  SoftwareHistory history = KnownHistory(servers);
  TimePoint now = kStart + kWindow + seconds(1);
  CHECK(history.OnlySoftware(kServices, kMaxDirectoryAge, now) ==
        SoftwareOf("v1"));
  CHECK(!history.OnlySoftware(kServices, kMaxDirectoryAge + milliseconds(1),
                              now));
  CHECK(!history.IsSettled(kMaxDirectoryAge + milliseconds(1), now));
  history.Update(servers, false, now);
  CHECK(!history.OnlySoftware(kServices, kUpToDate, now));
  Observe(history, servers, now + seconds(1), now + kWindow);
  now += kWindow;
  CHECK(history.OnlySoftware(kServices, kUpToDate, now) == SoftwareOf("v1"));
}

// Guards against servers of unknown version that count as one version.
TEST(StreamOrigins, UnknownVersionsAreAllDifferent) {
  CHECK(SoftwareHash(Server("a", "")) != SoftwareHash(Server("b", "")));
  CHECK(SoftwareHash(Server("a", "", 1)) != SoftwareHash(Server("a", "", 2)));
  CHECK(SoftwareHash(Server("a", "v1")) == SoftwareHash(Server("b", "v1")));
  CHECK(SoftwareHash(Server("a", "v1")) != SoftwareHash(Server("a", "v2")));
  RegisteredServer other = Server("a", "v1");
  other.service = "another";
  CHECK(SoftwareHash(Server("a", "v1")) != SoftwareHash(other));
  const SoftwareHistory history =
      KnownHistory({{"a", Server("a", "")}, {"b", Server("b", "")}});
  CHECK(!history.OnlySoftware(kServices, kUpToDate, kStart + kWindow));
}

TEST(StreamOrigins, OwnStreamsAreToldOnceAndCompleteOnesNot) {
  StreamOrigins origins;
  origins.Add({.stream = 1, .software = 7}, kStart);
  origins.Add({.stream = 2, .software = 8}, kStart);
  origins.Merge({{.stream = 3, .software = 9}, {.stream = 1, .software = 9}},
                kStart);
  CHECK(origins.Find(1) == 7U);
  CHECK(origins.Find(3) == 9U);
  CHECK(!origins.Find(4));
  origins.RecordCompletion(2);
  const std::vector<StreamOrigin> told = {{.stream = 1, .software = 7}};
  CHECK(origins.AddedSince(0) == told);
  CHECK(origins.AddedSince(origins.added_count()).empty());
  origins.Add({.stream = 5, .software = 7}, kStart + seconds(1));
  const std::vector<StreamOrigin> added = {{.stream = 5, .software = 7}};
  CHECK(origins.AddedSince(2) == added);
  origins.Expire(kWindow, kStart + kWindow);
  CHECK(!origins.Find(1));
  CHECK(origins.Find(5) == 7U);
  LONGS_EQUAL(1, origins.size());
}

TEST(StreamOrigins, NumberOfStreamsIsBounded) {
  constexpr std::uint64_t kMany = 120'000;
  StreamOrigins origins;
  for (std::uint64_t i = 1; i <= kMany; ++i) {
    origins.Add({.stream = i, .software = 1}, kStart + milliseconds(i));
  }
  CHECK(origins.size() <= 50'000);
  CHECK(origins.Find(kMany) == 1U);
}

// Guards against streams that are joined from two versions, over releases and
// kills of one or all instances.
TEST(StreamOrigins, NoStreamGoesOnAtAnotherVersion) {
  int resumed = 0;
  CHECK(rc::check("streams go on at the version that began them", [&] {
    ResumingFleet fleet(*rc::gen::arbitrary<std::uint64_t>(),
                        FleetFault::kKills);
    fleet.Run();
    resumed += fleet.resumed();
  }));
  CHECK(resumed > 0);
}

// Guards against an instance that is cut off or stands still for seconds while
// servers of a new version join, and then resumes streams that began there
// through other instances.
TEST(StreamOrigins, InstanceOutOfStepJoinsNoVersions) {
  int resumed = 0;
  CHECK(rc::check("an instance out of step joins no versions", [&] {
    ResumingFleet fleet(*rc::gen::arbitrary<std::uint64_t>(),
                        FleetFault::kOutOfStep);
    fleet.Run();
    resumed += fleet.resumed();
  }));
  CHECK(resumed > 0);
}

// Guards against a process that stood still and believes that it saw all
// versions of the time before.
TEST(StreamOrigins, ProcessThatStoodStillKnowsNoOnlySoftware) {
  const Servers servers = {{"a", Server("a", "v1")}};
  SoftwareHistory history = KnownHistory(servers);
  TimePoint now = kStart + kWindow + seconds(1);
  history.Update(servers, true, now);
  CHECK(history.OnlySoftware(kServices, kUpToDate, now) == SoftwareOf("v1"));
  now += seconds(4);
  history.Update(servers, true, now);
  CHECK(!history.OnlySoftware(kServices, kUpToDate, now));
}

// Guards against a new version that waits although no other one is registered,
// or after all instances know of it.
TEST(StreamOrigins, NewSoftwareWaitsOnlyBesideAnother) {
  SoftwareHistory history = KnownHistory({{"a", Server("a", "v1")}});
  TimePoint now = kStart + kWindow + seconds(1);
  const Servers both = {{"a", Server("a", "v1")}, {"b", Server("b", "v2")}};
  history.Update(both, true, now);
  const std::vector<std::uint64_t> expected = {SoftwareOf("v2")};
  CHECK(history.NewSoftware("model", now) == expected);
  CHECK(history.NewSoftware("other", now).empty());
  now += seconds(3);
  history.Update(both, true, now);
  CHECK(history.NewSoftware("model", now).empty());
  now += seconds(1);
  history.Update({{"c", Server("c", "v3")}}, true, now);
  CHECK(history.NewSoftware("model", now).empty());
}
