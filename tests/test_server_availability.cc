// Tests of the placement with servers that are leaving or asked for a pause, on
// a virtual clock.
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/backend_directory.h"
#include "core/placer.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// A fixed seed makes the result reproducible; RapidCheck prints it on failure.
constexpr char kParameters[] = "seed=20261205 max_success=400";

const TimePoint kBegin = TimePoint{} + std::chrono::hours(1);

// Decodes values of the form SERVICE:INCARNATION.
class LifetimeDecoder : public ServerDecoder {
 public:
  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    const std::size_t colon = document.value.find(':');
    return RegisteredServer{
        .id = document.key,
        .incarnation = std::stoull(document.value.substr(colon + 1)),
        .service = document.value.substr(0, colon),
        .address = "a-" + document.key,
        .data_centre = "here",
        .slots = 8};
  }
};

const Route kOnce{
    .name = "once", .kind = RouteKind::kOnce, .target = milliseconds(300)};
const RoutedService kPlain{.name = "plain"};
const RoutedService kEngines{
    .name = "model", .batch_slots = 8, .kv_capacity_tokens = 100000};

// The servers of one service, and one instance that sends to them.
struct Servers {
  explicit Servers(int count, const RoutedService& service = kPlain,
                   const std::string& instance = "a")
      : placer({.data_centre = "here", .instance = instance}, this->directory),
        service(service) {
    for (int i = 0; i < count; ++i) {
      this->Put("s" + std::to_string(i), 1);
    }
  }

  // Registers a lifetime of the server.
  void Put(const std::string& id, int incarnation) {
    this->Apply(
        {.key = id,
         .revision = ++this->revision,
         .value = this->service.name + ":" + std::to_string(incarnation)});
  }
  void Remove(const std::string& id) {
    this->Apply({.key = id, .revision = ++this->revision, .is_removed = true});
  }
  [[nodiscard]] const RegisteredServer& Server(const std::string& id) const {
    return *this->directory.Find(id);
  }
  [[nodiscard]] PlacementQuery Query(int tier = 1) const {
    return {.route = &kOnce,
            .service = &this->service,
            .tier = tier,
            .prompt_tokens = 1000,
            .expected_output_tokens = 100};
  }
  std::optional<ServerChoice> Choose(TimePoint now, int tier = 1) {
    return this->placer.Choose(this->Query(tier), now, this->why_not);
  }
  bool Chooses(TimePoint now, int tier = 1) {
    return this->Choose(now, tier).has_value();
  }
  // Sends a request that the server answers at once; returns the server's id,
  // which is empty if there is none.
  std::string Send(TimePoint now, int tier = 1) {
    const auto choice = this->SendUnanswered(now, tier);
    if (!choice) {
      return "";
    }
    this->availability().RecordAnswer(choice->server, now, now);
    return choice->server.id;
  }
  std::optional<ServerChoice> SendUnanswered(TimePoint now, int tier = 1) {
    return this->SendUnanswered(this->Query(tier), now);
  }
  std::optional<ServerChoice> SendUnanswered(const PlacementQuery& query,
                                             TimePoint now) {
    auto choice = this->placer.Choose(query, now, this->why_not);
    if (choice) {
      this->placer.RecordSend(query, *choice, now);
      this->placer.RecordEnd(*choice, milliseconds(20));
    }
    return choice;
  }
  [[nodiscard]] ServerAvailability& availability() {
    return this->placer.availability();
  }

  void Apply(const SharedDocument& document) {
    this->directory.Apply({document}, this->revision, kBegin, kBegin);
    this->availability().Tick(this->directory.servers(), kBegin);
  }

  LifetimeDecoder decoder;
  std::uint64_t revision = 0;
  BackendDirectory directory{decoder};
  Placer placer;
  NoChoiceReason why_not = NoChoiceReason::kNoServer;
  const RoutedService& service;
};

std::vector<AvailabilityChangeKind> KindsOf(
    const std::vector<AvailabilityChange>& changes) {
  std::vector<AvailabilityChangeKind> kinds;
  kinds.reserve(changes.size());
  for (const AvailabilityChange& change : changes) {
    kinds.push_back(change.kind);
  }
  return kinds;
}

}  // namespace

TEST_GROUP(ServerAvailability){void setup()
                                   override{setenv("RC_PARAMS", kParameters, 1);
}
}
;

// Guards against a leaving server getting requests while there is another one.
TEST(ServerAvailability, OthersArePreferredToALeavingServer) {
  Servers servers(2);
  servers.availability().RecordLeaving(servers.Server("s0"), kBegin);
  for (int i = 0; i < 20; ++i) {
    STRCMP_EQUAL("s1", servers.Send(kBegin + milliseconds(i)).c_str());
  }
  CHECK_EQUAL(1, servers.availability().leaving_count());
}

// Guards against a service being refused as soon as its last server leaves, and
// against that server getting requests for longer than it allows.
TEST(ServerAvailability, LastServerThatLeavesIsUsedForASecond) {
  Servers servers(1);
  servers.availability().RecordLeaving(servers.Server("s0"), kBegin);
  STRCMP_EQUAL("s0", servers.Send(kBegin + milliseconds(900)).c_str());
  // What it says again does not prolong the time.
  servers.availability().RecordLeaving(servers.Server("s0"),
                                       kBegin + milliseconds(900));
  CHECK(!servers.Chooses(kBegin + milliseconds(1001)));
  CHECK(servers.why_not == NoChoiceReason::kNoServer);
  CHECK(servers.placer.EstimateRetryDelay(
            servers.Query(), kBegin + milliseconds(1001)) >= seconds(1));
}

// Guards against a server that left getting requests because all of the others
// are ejected.
TEST(ServerAvailability, ServerThatLeftIsNoLastChoiceAmongEjectedOnes) {
  Servers servers(1);
  const auto choice = servers.Choose(kBegin);
  servers.availability().RecordLeaving(servers.Server("s0"), kBegin);
  servers.placer.RecordResult(*choice, SendResult::kUnreachable,
                              kBegin + milliseconds(900));
  servers.placer.RecordResult(*choice, SendResult::kUnreachable,
                              kBegin + milliseconds(900));
  CHECK(servers.Chooses(kBegin + milliseconds(950)));
  CHECK(!servers.Chooses(kBegin + milliseconds(1050)));
}

// Guards against a leaving server remaining the home of shared parts, for which
// requests would wait.
TEST(ServerAvailability, LeavingServerIsNotTheHomeOfSharedParts) {
  Servers servers(3, kEngines);
  PlacementQuery query = servers.Query();
  query.parts = {{.id = 7, .tokens = 900}, {.id = 8, .tokens = 100}};
  query.affinity_wait_until = kBegin + seconds(5);
  const auto home =
      servers.placer.Choose(query, kBegin, servers.why_not)->server;
  servers.availability().RecordLeaving(home, kBegin);
  const auto next = servers.placer.Choose(query, kBegin, servers.why_not);
  CHECK(next->server.id != home.id);
  CHECK(next->reason == ChoiceReason::kPromptAffinity);
}

// Guards against an entry that is written again, or returns after a removal,
// lifting what the process said, and against a new process being bound by it.
TEST(ServerAvailability, HoldsForOneLifetimeOfTheServer) {
  Servers servers(1);
  servers.availability().RecordLeaving(servers.Server("s0"), kBegin);
  servers.availability().RecordPause(servers.Server("s0"), seconds(20), kBegin);
  const TimePoint later = kBegin + seconds(5);
  servers.Put("s0", 1);
  CHECK(!servers.Chooses(later));
  servers.placer.Forget("s0");
  servers.Remove("s0");
  servers.availability().Tick(servers.directory.servers(), later + minutes(1));
  servers.Put("s0", 1);
  CHECK(!servers.Chooses(later));
  servers.Put("s0", 2);
  CHECK(servers.Chooses(later));
  // A store that comes back from a copy lists the old process again.
  servers.Put("s0", 1);
  CHECK(!servers.Chooses(later));
}

// Guards against the beliefs about processes that are gone filling the memory.
TEST(ServerAvailability, ForgetsLifetimesThatAreGoneForLong) {
  Servers servers(1);
  ServerAvailability& availability = servers.availability();
  availability.RecordLeaving(servers.Server("s0"), kBegin);
  servers.Put("s0", 2);
  availability.Tick(servers.directory.servers(), kBegin + minutes(9));
  CHECK_EQUAL(0, availability.leaving_count());
  CHECK(KindsOf(availability.TakeChanges()) ==
        std::vector{AvailabilityChangeKind::kLeaving});
  availability.Tick(servers.directory.servers(), kBegin + minutes(11));
  CHECK(KindsOf(availability.TakeChanges()) ==
        std::vector{AvailabilityChangeKind::kForgotten});
}

// Guards against a server getting requests during a pause, also when a shorter
// one is asked for in between, and against a pause that never ends.
TEST(ServerAvailability, PausedServerGetsNothingUntilTheLastPauseEnds) {
  Servers servers(1);
  ServerAvailability& availability = servers.availability();
  availability.RecordPause(servers.Server("s0"), seconds(3), kBegin);
  availability.RecordPause(servers.Server("s0"), milliseconds(100),
                           kBegin + milliseconds(50));
  CHECK(!servers.Chooses(kBegin + milliseconds(2999)));
  CHECK(servers.why_not == NoChoiceReason::kPaused);
  CHECK_EQUAL(1, availability.paused_count(kBegin + seconds(1)));
  CHECK(servers.Chooses(kBegin + milliseconds(3501)));
  availability.RecordPause(servers.Server("s0"), std::chrono::hours(24),
                           kBegin + seconds(10));
  CHECK(!servers.Chooses(kBegin + seconds(69)));
  CHECK(servers.Chooses(kBegin + seconds(71)));
}

// Guards against callers being told another time than the end of the shortest
// pause.
TEST(ServerAvailability, RetryDelayIsTheTimeToTheEndOfTheShortestPause) {
  Servers servers(2);
  servers.availability().RecordPause(servers.Server("s0"), seconds(9), kBegin);
  servers.availability().RecordPause(servers.Server("s1"), seconds(4), kBegin);
  const TimePoint now = kBegin + seconds(1);
  CHECK(!servers.Chooses(now));
  const Duration delay =
      servers.placer.EstimateRetryDelay(servers.Query(), now);
  CHECK(delay >= seconds(3));
  CHECK(delay <= milliseconds(3500));
}

// Guards against callers being told that the rate limit keeps them out, or that
// they may wait, while a pause does as well.
TEST(ServerAvailability, PausesCountBesideRateLimitsAndSlots) {
  Servers servers(2, kEngines);
  servers.availability().RecordPause(servers.Server("s0"), seconds(3), kBegin);
  servers.placer.ObserveRateLimit(servers.Server("s1"), 0.25, kBegin, kBegin);
  CHECK(!servers.Chooses(kBegin + milliseconds(10)));
  CHECK(servers.why_not == NoChoiceReason::kPaused);
  const CapacityLimitCounts& counts = servers.placer.last_capacity_limits();
  CHECK_EQUAL(1, counts[static_cast<std::size_t>(CapacityLimit::kPaused)]);
  CHECK_EQUAL(1, counts[static_cast<std::size_t>(CapacityLimit::kRate)]);

  Servers others(2, kEngines);
  others.availability().RecordPause(others.Server("s0"), seconds(3), kBegin);
  others.placer.ledger().Add("s1", {.running = 8});
  CHECK(!others.Chooses(kBegin + milliseconds(10)));
  CHECK(others.why_not == NoChoiceReason::kHeldBack);
}

// Guards against a paused server getting requests because it is ejected too.
TEST(ServerAvailability, PausedServerIsNoLastChoiceAmongEjectedOnes) {
  Servers servers(1);
  const auto choice = servers.Choose(kBegin);
  servers.placer.RecordResult(*choice, SendResult::kUnreachable, kBegin);
  servers.placer.RecordResult(*choice, SendResult::kUnreachable, kBegin);
  CHECK(servers.Chooses(kBegin));
  servers.availability().RecordPause(servers.Server("s0"), seconds(3), kBegin);
  CHECK(!servers.Chooses(kBegin + milliseconds(100)));
}

// Guards against a paused server being taken for a failed one.
TEST(ServerAvailability, PausesAreNoFailures) {
  Servers servers(1);
  TimePoint now = kBegin;
  for (int i = 0; i < 10; ++i) {
    const auto choice = servers.SendUnanswered(now);
    CHECK(choice.has_value());
    servers.availability().RecordPause(choice->server, seconds(1), now);
    CHECK(!servers.placer.RecordResult(*choice, SendResult::kFull, now));
    now += seconds(2);
  }
}

// Guards against all requests returning at once at the end of a pause.
TEST(ServerAvailability, RequestsReturnByDegrees) {
  Servers servers(1);
  ServerAvailability& availability = servers.availability();
  const RegisteredServer server = servers.Server("s0");
  availability.RecordPause(server, seconds(1), kBegin);
  TimePoint now = kBegin + seconds(2);
  availability.Tick(servers.directory.servers(), now);
  for (const int allowed : {1, 2, 4, 8, 16}) {
    const TimePoint sent_at = now;
    for (int i = 0; i < allowed; ++i) {
      CHECK(servers.SendUnanswered(now).has_value());
      now += milliseconds(1);
    }
    CHECK(!servers.Chooses(now));
    CHECK(servers.why_not == NoChoiceReason::kHeldBack);
    // Answers to requests from before the pause do not count.
    availability.RecordAnswer(server, kBegin, now);
    CHECK(!servers.Chooses(now));
    // Neither do several answers to what was sent together.
    now += milliseconds(10);
    availability.RecordAnswer(server, sent_at, now);
    availability.RecordAnswer(server, sent_at, now);
  }
  for (int i = 0; i < 100; ++i) {
    CHECK(servers.SendUnanswered(now).has_value());
  }
  CHECK(KindsOf(availability.TakeChanges()) ==
        (std::vector{AvailabilityChangeKind::kPaused,
                     AvailabilityChangeKind::kReturning,
                     AvailabilityChangeKind::kResumed}));
}

// Guards against an answer that never arrives keeping the server unused.
TEST(ServerAvailability, LostAnswerDoesNotKeepRequestsFromReturning) {
  Servers servers(1);
  servers.availability().RecordPause(servers.Server("s0"), seconds(1), kBegin);
  const TimePoint now = kBegin + seconds(2);
  CHECK(servers.SendUnanswered(now).has_value());
  CHECK(!servers.Chooses(now + milliseconds(499)));
  CHECK(servers.SendUnanswered(now + milliseconds(500)).has_value());
  CHECK(!servers.Chooses(now + milliseconds(501)));
}

// Guards against less urgent requests taking the first places after a pause in
// which more urgent ones were refused.
TEST(ServerAvailability, UrgentRequestsReturnFirst) {
  Servers servers(1);
  servers.availability().RecordPause(servers.Server("s0"), seconds(4), kBegin);
  CHECK(!servers.Chooses(kBegin + milliseconds(3900), 0));
  const TimePoint now = kBegin + milliseconds(4600);
  CHECK(!servers.Chooses(now, 3));
  CHECK(servers.Chooses(now, 0));
  CHECK(servers.Chooses(now + seconds(2), 3));
}

// Guards against all instances sending to a server again at the same moment.
TEST(ServerAvailability, InstancesReturnOneAfterTheOther) {
  std::vector<TimePoint> returns;
  for (int i = 0; i < 9; ++i) {
    Servers servers(1, kPlain, "instance-" + std::to_string(i));
    servers.availability().RecordPause(servers.Server("s0"), seconds(4),
                                       kBegin);
    TimePoint now = kBegin + seconds(3);
    while (!servers.Chooses(now)) {
      now += milliseconds(1);
    }
    returns.push_back(now);
  }
  std::sort(returns.begin(), returns.end());
  CHECK(returns.front() >= kBegin + seconds(4));
  CHECK(returns.back() <= kBegin + milliseconds(4501));
  CHECK(returns.back() - returns.front() >= milliseconds(200));
  CHECK(std::set<TimePoint>(returns.begin(), returns.end()).size() >= 7);
}

// Guards against the home of a prompt being waited for during its pause.
TEST(ServerAvailability, RequestsDoNotWaitForAPausedHome) {
  Servers servers(3, kEngines);
  PlacementQuery query = servers.Query();
  query.parts = {{.id = 7, .tokens = 900}, {.id = 8, .tokens = 100}};
  query.affinity_wait_until = kBegin + seconds(5);
  const auto home = servers.placer.Choose(query, kBegin, servers.why_not);
  servers.availability().RecordPause(home->server, seconds(2), kBegin);
  const auto next =
      servers.placer.Choose(query, kBegin + seconds(1), servers.why_not);
  CHECK(next.has_value());
  CHECK(next->server.id != home->server.id);
  const auto later =
      servers.placer.Choose(query, kBegin + seconds(4), servers.why_not);
  STRCMP_EQUAL(home->server.id.c_str(), later->server.id.c_str());
}

namespace {

constexpr int kInstances = 3;
constexpr int kServers = 4;
// A leaving server may get a request for this long after it has said so.
constexpr Duration kDrainTime = seconds(2);

// A history of servers that leave, ask for pauses, restart and vanish from the
// directory, and of instances that send to them. What each instance was told is
// kept apart from the code under test.
class History {
 public:
  History() {
    for (int i = 0; i < kInstances; ++i) {
      this->instances.push_back(std::make_unique<Servers>(
          kServers, kPlain, "instance-" + std::to_string(i)));
    }
  }

  // Performs the step that the number stands for.
  void Step(unsigned number) {
    const unsigned kind = number % 16;
    const unsigned argument = number / 16;
    const std::size_t server = argument % kServers;
    this->now += milliseconds(argument % 97);
    if (kind == 0) {
      this->servers[server].is_leaving = true;
    } else if (kind <= 2) {
      this->servers[server].pause = milliseconds(argument % 4000);
    } else if (kind <= 4) {
      this->servers[server].pause = {};
    } else if (kind == 5) {
      this->Restart(server);
    } else if (kind == 6) {
      this->ToggleEntry(server);
    } else if (kind == 7) {
      this->now += milliseconds(argument % 3000);
    } else {
      this->SendFrom(argument % kInstances, static_cast<int>(argument / 7 % 3),
                     argument / 32 % (1U << kServers), kind < 10);
    }
    this->TickAll();
  }
  // Lets all servers start again and sound; returns whether each instance then
  // uses each of them.
  bool RecoversAtTheEnd() {
    for (std::size_t server = 0; server < kServers; ++server) {
      this->servers[server].is_listed = true;
      this->Restart(server);
    }
    for (const auto& instance : this->instances) {
      for (unsigned server = 0; server < kServers; ++server) {
        const PlacementQuery query = WithoutServers(*instance, ~(1U << server));
        const auto choice = instance->SendUnanswered(query, this->now);
        if (!choice) {
          return false;
        }
      }
    }
    return true;
  }

 private:
  struct ActualServer {
    int incarnation = 1;
    bool is_leaving = false;
    Duration pause{};
    bool is_listed = true;
  };
  // What a lifetime of a server has told an instance.
  struct Told {
    std::optional<TimePoint> leaving_at;
    TimePoint paused_until;
  };

  static std::string IdOf(std::size_t server) {
    return "s" + std::to_string(server);
  }
  // Returns a query that excludes the servers of the bits that are set.
  static PlacementQuery WithoutServers(const Servers& sender, unsigned bits,
                                       int tier = 1) {
    PlacementQuery query = sender.Query(tier);
    for (std::size_t server = 0; server < kServers; ++server) {
      if ((bits >> server & 1U) != 0) {
        query.tried_servers.push_back(IdOf(server));
      }
    }
    return query;
  }
  void Restart(std::size_t server) {
    ActualServer& actual = this->servers[server];
    actual = {.incarnation = actual.incarnation + 1,
              .is_listed = actual.is_listed};
    if (actual.is_listed) {
      for (const auto& instance : this->instances) {
        instance->Put(IdOf(server), actual.incarnation);
      }
    }
  }
  void ToggleEntry(std::size_t server) {
    ActualServer& actual = this->servers[server];
    actual.is_listed = !actual.is_listed;
    for (const auto& instance : this->instances) {
      if (actual.is_listed) {
        instance->Put(IdOf(server), actual.incarnation);
      } else {
        instance->Remove(IdOf(server));
        instance->placer.Forget(IdOf(server));
      }
    }
  }
  void TickAll() {
    for (const auto& instance : this->instances) {
      instance->availability().Tick(instance->directory.servers(), this->now);
    }
  }
  // Returns whether the instance knows a server, other than those of the bits
  // that are set, that never told it that it leaves or wants a pause.
  bool HasFreeServer(std::size_t instance, unsigned bits) {
    for (std::size_t server = 0; server < kServers; ++server) {
      const auto found = this->told[instance].find(
          {server, this->servers[server].incarnation});
      if (this->servers[server].is_listed && (bits >> server & 1U) == 0 &&
          found == this->told[instance].end()) {
        return true;
      }
    }
    return false;
  }
  // Sends a request that excludes the servers of the bits that are set.
  void SendFrom(std::size_t instance, int tier, unsigned bits,
                bool loses_answer) {
    Servers& sender = *this->instances[instance];
    const bool has_free_server = this->HasFreeServer(instance, bits);
    const auto choice =
        sender.SendUnanswered(WithoutServers(sender, bits, tier), this->now);
    RC_ASSERT(choice || !has_free_server);
    if (!choice) {
      return;
    }
    const std::size_t server =
        static_cast<std::size_t>(choice->server.id.back() - '0');
    const ActualServer& actual = this->servers[server];
    const std::pair lifetime(server, actual.incarnation);
    const auto known = this->told[instance].find(lifetime);
    if (known != this->told[instance].end()) {
      RC_ASSERT(!known->second.leaving_at ||
                this->now - *known->second.leaving_at < kDrainTime);
      RC_ASSERT(!known->second.leaving_at || !has_free_server);
      RC_ASSERT(this->now >= known->second.paused_until);
    }
    if (loses_answer) {
      return;
    }
    ServerAvailability& availability = sender.availability();
    if (actual.is_leaving) {
      Told& entry = this->told[instance][lifetime];
      entry.leaving_at = entry.leaving_at.value_or(this->now);
      availability.RecordLeaving(choice->server, this->now);
    }
    if (actual.pause > Duration{}) {
      Told& entry = this->told[instance][lifetime];
      entry.paused_until =
          std::max(entry.paused_until, this->now + actual.pause);
      availability.RecordPause(choice->server, actual.pause, this->now);
    } else {
      availability.RecordAnswer(choice->server, this->now, this->now);
    }
  }

  TimePoint now = kBegin;
  std::vector<std::unique_ptr<Servers>> instances;
  std::array<ActualServer, kServers> servers;
  // By server and incarnation, for each instance.
  std::array<std::map<std::pair<std::size_t, int>, Told>, kInstances> told;
};

}  // namespace

// Guards against any order of leavings, pauses, restarts, lost answers and
// changes of the directory in which a server gets requests that it does not
// want, or in which a sound server gets none.
TEST(ServerAvailability, EveryInstanceKeepsToWhatItWasTold) {
  CHECK(rc::check("servers get only requests that they want", [] {
    const auto steps = *rc::gen::container<std::vector<unsigned>>(
        300, rc::gen::inRange(0U, 1U << 20U));
    History history;
    for (const unsigned step : steps) {
      history.Step(step);
    }
    RC_ASSERT(history.RecoversAtTheEnd());
  }));
}
