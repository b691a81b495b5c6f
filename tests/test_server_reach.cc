// Tests of what an instance knows about the servers that it reaches, and of how
// it places requests while servers are out of reach.
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/placer.h"
#include "core/server_reach.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A fixed seed makes the result reproducible; RapidCheck prints it on failure.
constexpr char kRapidCheckParameters[] = "seed=20261205 max_success=400";

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
// The time after which a connection attempt fails.
constexpr Duration kConnectTimeout = milliseconds(300);

// Decodes values that are the name of the service, or "draining".
class NameDecoder : public ServerDecoder {
 public:
  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    const bool is_draining = document.value == "draining";
    return RegisteredServer{.id = document.key,
                            .service = is_draining ? "model" : document.value,
                            .address = "10.0.0.1:80",
                            .data_centre = "here",
                            .slots = 8,
                            .is_draining = is_draining};
  }
};

std::string IdOf(int server) { return "e" + std::to_string(server); }

const Route kRoute{.name = "stream",
                   .kind = RouteKind::kStream,
                   .target = milliseconds(500),
                   .gap_target = milliseconds(200),
                   .is_resumable = true};
const Route kOrder{.name = "order", .target = milliseconds(500)};
const RoutedService kModel{
    .name = "model", .batch_slots = 8, .kv_capacity_tokens = 100000};

// An instance, its clock, and the servers e0, e1, ... of "model".
struct World {
  explicit World(int count) {
    std::vector<SharedDocument> documents;
    documents.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      documents.push_back({.key = IdOf(i),
                           .revision = static_cast<std::uint64_t>(i + 1),
                           .value = "model"});
    }
    this->directory.Replace(documents, 100, kStart, kStart);
  }

  void Set(const std::string& id, const std::string& value) {
    const std::uint64_t revision = this->directory.revision() + 1;
    this->directory.Apply({{.key = id, .revision = revision, .value = value}},
                          revision, this->now, this->now);
  }

  [[nodiscard]] PlacementQuery Query(const Route& route = kRoute) const {
    return {.route = &route,
            .service = &kModel,
            .prompt_tokens = 1000,
            .expected_output_tokens = 100,
            .shortest_target = milliseconds(500),
            .may_relay = true};
  }
  std::optional<ServerChoice> Choose(const PlacementQuery& query) {
    return this->placer.Choose(query, this->now, this->why_not);
  }
  // Sends the request until it is answered, relayed or not placed. Attempts at
  // servers that are cut off take `timeout`. Returns the number of attempts
  // that failed.
  int Send(PlacementQuery query, Duration timeout = kConnectTimeout) {
    for (int failed = 0;; ++failed) {
      std::optional<ServerChoice> choice = this->Choose(query);
      if (!choice) {
        return failed;
      }
      const TimePoint sent_at = this->now;
      this->placer.RecordSend(query, *choice, this->now);
      if (!this->cut_off.contains(choice->server.id)) {
        this->now += milliseconds(40);
        this->placer.RecordFirstEvent(query, *choice, this->now - sent_at,
                                      this->now);
        this->placer.RecordResult(*choice, SendResult::kAnswered, this->now);
        this->placer.RecordEnd(*choice, this->now - sent_at);
        ++this->answered;
        return failed;
      }
      this->now += timeout;
      this->placer.RecordResult(*choice, SendResult::kUnreachable, this->now);
      this->placer.RecordEnd(*choice, this->now - sent_at);
      query.tried_servers.push_back(choice->server.id);
    }
  }
  void CutOff(int first, int count) {
    for (int i = first; i < first + count; ++i) {
      this->cut_off.insert(IdOf(i));
    }
  }
  [[nodiscard]] bool IsOut() const {
    return this->placer.reach().IsServiceOutOfReach("model", this->now);
  }

  NameDecoder decoder;
  BackendDirectory directory{decoder};
  Placer placer{{.data_centre = "here", .instance = "a"}, directory};
  TimePoint now = kStart;
  NoChoiceReason why_not = NoChoiceReason::kNoServer;
  std::set<std::string> cut_off;
  int answered = 0;
};

}  // namespace

TEST_GROUP(ServerReach){
    void setup() override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

TEST(ServerReach, AllServersThatFailWithoutAContactAreOutOfReach) {
  World world(2);
  ServerReach& reach = world.placer.reach();
  reach.RecordContact("e0", "model", kStart);
  reach.RecordFailure("e0", "model", kStart + seconds(1));
  CHECK(!reach.IsServiceOutOfReach("model", kStart + seconds(1)));
  CHECK(!reach.IsOutOfReach("e0", kStart + seconds(1)));
  const TimePoint at = kStart + seconds(2);
  reach.RecordFailure("e1", "model", at);
  CHECK(reach.IsServiceOutOfReach("model", at));
  CHECK(reach.IsOutOfReach("e0", at));
  CHECK_EQUAL(2, reach.ServersOutOfReach(at));
  const auto changes = reach.TakeChanges(at);
  CHECK_EQUAL(1U, changes.size());
  CHECK(changes[0].is_out_of_reach);
  CHECK(changes[0].since == seconds(1));
  CHECK_EQUAL(2, changes[0].servers_failed);
  CHECK_EQUAL(2, changes[0].servers);
  CHECK(changes[0].last_contact == seconds(2));
  CHECK(reach.TakeChanges(at).empty());
  reach.RecordContact("e1", "model", at + milliseconds(1));
  CHECK(!reach.IsServiceOutOfReach("model", at + milliseconds(1)));
  CHECK(!reach.TakeChanges(at + milliseconds(1)).at(0).is_out_of_reach);
}

TEST(ServerReach, ThreeOfManyServersSuffice) {
  World world(10);
  ServerReach& reach = world.placer.reach();
  reach.RecordFailure("e0", "model", kStart);
  reach.RecordFailure("e0", "model", kStart);
  reach.RecordFailure("e1", "model", kStart);
  CHECK(!reach.IsServiceOutOfReach("model", kStart));
  CHECK(reach.IsOutOfReach("e0", kStart));
  CHECK(!reach.IsOutOfReach("e1", kStart));
  reach.RecordFailure("e2", "model", kStart);
  CHECK(reach.IsServiceOutOfReach("model", kStart));
  CHECK(reach.IsOutOfReach("e1", kStart));
  CHECK(!reach.IsOutOfReach("e3", kStart));
}

TEST(ServerReach, CrashedServersAreNoEvidenceWhileOthersAnswer) {
  World world(10);
  ServerReach& reach = world.placer.reach();
  for (int i = 0; i < 20; ++i) {
    reach.RecordFailure(IdOf(i % 5), "model", world.now);
    reach.RecordFailure(IdOf((i + 1) % 5), "model", world.now);
    world.now += milliseconds(20);
    reach.RecordContact(IdOf(5 + i % 5), "model", world.now);
    CHECK(!world.IsOut());
  }
  CHECK(reach.IsOutOfReach("e0", world.now));
  CHECK(!reach.IsOutOfReach("e5", world.now));
  CHECK(reach.TakeChanges(world.now).empty());
}

TEST(ServerReach, OneFailureOfASoleServerIsNoEvidence) {
  World world(1);
  ServerReach& reach = world.placer.reach();
  reach.RecordFailure("e0", "model", kStart);
  CHECK(!world.IsOut());
  reach.RecordFailure("e0", "model", kStart);
  CHECK(world.IsOut());
}

// A server may be silent for a second while it works on.
TEST(ServerReach, SilenceIsNoFailure) {
  World world(1);
  for (int i = 0; i < 3; ++i) {
    const auto choice = world.Choose(world.Query());
    CHECK(choice.has_value());
    world.now += seconds(1);
    world.placer.RecordResult(*choice, SendResult::kSilent, world.now);
    CHECK(!world.IsOut());
  }
}

// All channels of an instance may be reset at once, while new ones work.
TEST(ServerReach, StreamsThatBreakAreNoFailures) {
  World world(3);
  std::vector<ServerChoice> choices;
  for (int i = 0; i < 12; ++i) {
    const PlacementQuery query = world.Query();
    choices.push_back(*world.Choose(query));
    world.placer.RecordSend(query, choices.back(), world.now);
    world.placer.RecordFirstEvent(query, choices.back(), milliseconds(1),
                                  world.now);
  }
  for (const ServerChoice& choice : choices) {
    world.placer.RecordResult(choice, SendResult::kUnreachable, world.now);
  }
  CHECK(!world.IsOut());
  CHECK_EQUAL(0, world.placer.reach().ServersOutOfReach(world.now));
}

// Channels may live on while new ones fail: their answers to requests from
// before the belief don't end it.
TEST(ServerReach, AnswersToOlderRequestsDoNotEndTheBelief) {
  World world(3);
  ServerReach& reach = world.placer.reach();
  const TimePoint sent_at = kStart;
  const TimePoint at = kStart + seconds(1);
  for (int i = 0; i < 3; ++i) {
    reach.RecordFailure(IdOf(i), "model", at);
  }
  CHECK(reach.IsServiceOutOfReach("model", at));
  reach.RecordContact("e0", "model", sent_at, at + milliseconds(100));
  CHECK(reach.IsServiceOutOfReach("model", at + milliseconds(100)));
  CHECK(reach.IsOutOfReach("e0", at + milliseconds(100)));
  reach.RecordContact("e0", "model", at + milliseconds(100),
                      at + milliseconds(150));
  CHECK(!reach.IsServiceOutOfReach("model", at + milliseconds(150)));
  CHECK(!reach.IsOutOfReach("e0", at + milliseconds(150)));
}

TEST(ServerReach, ServicesAreIndependent) {
  World world(3);
  world.Set("s0", "shop");
  ServerReach& reach = world.placer.reach();
  for (int i = 0; i < 3; ++i) {
    reach.RecordFailure(IdOf(i), "model", kStart);
    reach.RecordContact("s0", "shop", kStart);
  }
  CHECK(reach.IsServiceOutOfReach("model", kStart));
  CHECK(!reach.IsServiceOutOfReach("shop", kStart));
  CHECK_EQUAL(1U, reach.ServicesOutOfReach(kStart).size());
}

TEST(ServerReach, DirectoryDecidesWhichServersMatter) {
  World world(2);
  ServerReach& reach = world.placer.reach();
  reach.RecordFailure("e0", "model", kStart);
  reach.RecordFailure("e0", "model", kStart);
  CHECK(!world.IsOut());
  // The other one drains.
  world.Set("e1", "draining");
  CHECK(reach.TakeChanges(kStart).at(0).is_out_of_reach);
  CHECK(world.IsOut());
  // A new server appears that has not failed.
  world.Set("e2", "model");
  CHECK(!reach.TakeChanges(kStart).at(0).is_out_of_reach);
  CHECK(!world.IsOut());
  reach.RecordFailure("e2", "model", kStart);
  CHECK(world.IsOut());
  // It restarts.
  world.placer.Forget("e2");
  static_cast<void>(reach.TakeChanges(kStart));
  CHECK(!world.IsOut());
}

TEST(ServerReach, BeliefWithoutFailuresLapses) {
  World world(1);
  ServerReach& reach = world.placer.reach();
  reach.RecordFailure("e0", "model", kStart);
  reach.RecordFailure("e0", "model", kStart);
  CHECK(reach.IsServiceOutOfReach("model", kStart + seconds(15)));
  const TimePoint late = kStart + seconds(16);
  CHECK(!reach.IsServiceOutOfReach("model", late));
  CHECK(!reach.IsOutOfReach("e0", late));
  CHECK(!reach.TakeChanges(late).at(1).is_out_of_reach);
  // An old failure doesn't add to a new one.
  reach.RecordFailure("e0", "model", late);
  CHECK(!reach.IsServiceOutOfReach("model", late));
}

TEST(ServerReach, TestsAreSingleAndSlowDown) {
  World world(1);
  ServerReach& reach = world.placer.reach();
  CHECK(!reach.MayTest("model", kStart));
  reach.RecordFailure("e0", "model", kStart);
  reach.RecordFailure("e0", "model", kStart);
  std::vector<Duration> tests;
  for (Duration time{}; time <= seconds(5); time += milliseconds(10)) {
    if (reach.MayTest("model", kStart + time)) {
      reach.RecordTest("model", kStart + time);
      CHECK(!reach.MayTest("model", kStart + time));
      tests.push_back(time);
    }
  }
  CHECK_EQUAL(6U, tests.size());
  CHECK(tests[0] == milliseconds(300));
  CHECK(tests[1] == milliseconds(900));
  CHECK(tests[2] == milliseconds(1900));
  CHECK(tests[3] == milliseconds(2900));
}

// A server that answers now and then must not bring all requests back each
// time.
TEST(ServerReach, RelapseContinuesWithTheIntervalOfTheTests) {
  World world(2);
  ServerReach& reach = world.placer.reach();
  const auto fail_all = [&](TimePoint at) {
    for (const char* server : {"e0", "e1"}) {
      reach.RecordFailure(server, "model", at);
    }
  };
  fail_all(kStart);
  TimePoint at = kStart + milliseconds(300);
  reach.RecordTest("model", at);
  at += milliseconds(600);
  reach.RecordTest("model", at);
  reach.RecordContact("e0", "model", at);
  fail_all(at);
  CHECK(!reach.MayTest("model", at + milliseconds(999)));
  CHECK(reach.MayTest("model", at + seconds(1)));
  // Much later, the interval is short again.
  reach.RecordContact("e0", "model", at + seconds(2));
  fail_all(at + seconds(8));
  CHECK(reach.MayTest("model", at + seconds(8) + milliseconds(300)));
}

TEST(ServerReach, RequestThatFailedAtTwoServersIsRelayed) {
  World world(10);
  CHECK_EQUAL(0, world.Send(world.Query()));
  CHECK_EQUAL(1, world.answered);
  world.CutOff(0, 10);
  CHECK_EQUAL(2, world.Send(world.Query()));
  CHECK(world.why_not == NoChoiceReason::kOutOfReach);
  CHECK(world.Send(world.Query()) <= 1);
  CHECK(world.IsOut());
  CHECK_EQUAL(0, world.Send(world.Query()));
  CHECK(world.why_not == NoChoiceReason::kOutOfReach);
}

// Crashed servers must not keep requests from the sound one.
TEST(ServerReach, ServersThatHaveNotFailedAreTriedFirst) {
  World world(3);
  world.CutOff(0, 2);
  for (int i = 0; i < 20; ++i) {
    world.now += milliseconds(1400);
    world.Send(world.Query());
    CHECK(i < 1 || world.answered > 0);
  }
  CHECK(world.answered >= 19);
  CHECK(!world.IsOut());
}

TEST(ServerReach, RequestThatFailedAtTheSoleServerIsRelayed) {
  World world(1);
  world.CutOff(0, 1);
  CHECK_EQUAL(1, world.Send(world.Query()));
  CHECK(world.why_not == NoChoiceReason::kOutOfReach);
}

// Without an instance to relay to, everything is as if nothing were known.
TEST(ServerReach, RequestThatMayNotBeRelayedIsPlacedAsBefore) {
  World world(3);
  world.CutOff(0, 3);
  PlacementQuery query = world.Query();
  query.may_relay = false;
  for (int i = 0; i < 5; ++i) {
    CHECK_EQUAL(3, world.Send(query));
    CHECK(world.why_not == NoChoiceReason::kUnreachable);
  }
  CHECK(world.IsOut());
  CHECK(world.Choose(query)->reason == ChoiceReason::kOnlyEjected);
}

TEST(ServerReach, RequestsOfACutAreRelayedAndItsEndIsFound) {
  for (const Duration timeout : {Duration(kConnectTimeout), Duration{}}) {
    for (const int servers : {1, 3, 30}) {
      World world(servers);
      for (int i = 0; i < 20; ++i) {
        CHECK_EQUAL(0, world.Send(world.Query(), timeout));
      }
      world.CutOff(0, servers);
      int failed_attempts = 0;
      int relayed = 0;
      const TimePoint cut_at = world.now;
      while (world.now - cut_at < seconds(12)) {
        failed_attempts += world.Send(world.Query(), timeout);
        CHECK(world.why_not == NoChoiceReason::kOutOfReach);
        ++relayed;
        world.now += milliseconds(50);
      }
      CHECK(relayed >= 100);
      CHECK(failed_attempts <= 18);
      world.cut_off.clear();
      world.answered = 0;
      const TimePoint healed_at = world.now;
      while (world.answered == 0) {
        world.Send(world.Query(), timeout);
        world.now += milliseconds(50);
      }
      CHECK(world.now - healed_at <= milliseconds(1200));
      CHECK(!world.IsOut());
      const auto changes = world.placer.reach().TakeChanges(world.now);
      CHECK_EQUAL(2U, changes.size());
    }
  }
}

TEST(ServerReach, LowTrafficIsRelayedToo) {
  World world(3);
  CHECK_EQUAL(0, world.Send(world.Query()));
  world.CutOff(0, 3);
  int failed_attempts = 0;
  for (int i = 0; i < 9; ++i) {
    world.now += milliseconds(1400);
    failed_attempts += world.Send(world.Query());
    CHECK(world.why_not == NoChoiceReason::kOutOfReach);
  }
  // Each request tests the service, since the last one is long ago.
  CHECK(failed_attempts <= 10);
  world.cut_off.clear();
  world.now += milliseconds(1400);
  CHECK_EQUAL(0, world.Send(world.Query()));
  CHECK_EQUAL(2, world.answered);
}

// The same request may run twice if only its answer is lost.
TEST(ServerReach, OnlyRequestsThatMayBeRepeatedTest) {
  World world(3);
  world.CutOff(0, 3);
  world.Send(world.Query());
  world.Send(world.Query());
  CHECK(world.IsOut());
  world.now += seconds(2);
  CHECK(!world.Choose(world.Query(kOrder)));
  CHECK(world.why_not == NoChoiceReason::kOutOfReach);
  PlacementQuery tried = world.Query();
  tried.tried_servers = {"e0"};
  CHECK(!world.Choose(tried));
  const auto test = world.Choose(world.Query());
  CHECK(test->reason == ChoiceReason::kTrial);
  CHECK(!world.Choose(world.Query()));
}

TEST(ServerReach, RequestWithoutCapacityIsRelayedIfAThirdIsOutOfReach) {
  for (const auto& [cut_off, load_of_others] :
       {std::pair(0, 2), {1, 2}, {2, 2}, {4, 2}, {4, 1}, {4, 0}}) {
    World world(6);
    std::vector<ServerLoadEntry> loads;
    loads.reserve(6);
    for (int i = 0; i < cut_off; ++i) {
      for (int failure = 0; failure < 2; ++failure) {
        const ServerChoice choice{.server = *world.directory.Find(IdOf(i))};
        world.placer.RecordResult(choice, SendResult::kUnreachable, world.now);
      }
      world.placer.reach().RecordContact("e5", "model", world.now);
    }
    for (int i = 0; i < 6; ++i) {
      loads.push_back({.server_hash = IdHash(IdOf(i)),
                       .load = {.running = i < cut_off ? load_of_others : 8}});
    }
    world.placer.ledger().SetPeerLoads("b", loads, world.now);
    CHECK(!world.Choose(world.Query()));
    // Servers that nobody uses may have crashed: the others lack them too.
    CHECK(world.why_not == (cut_off >= 2 && load_of_others >= 2
                                ? NoChoiceReason::kOutOfReach
                                : NoChoiceReason::kHeldBack));
    PlacementQuery direct = world.Query();
    direct.may_relay = false;
    CHECK(!world.Choose(direct));
    CHECK(world.why_not == NoChoiceReason::kHeldBack);
  }
}

// The servers failed one after the other, with answers in between.
TEST(ServerReach, RequestIsRelayedIfAllServersAreEjectedAndOutOfReach) {
  World world(3);
  ServerReach& reach = world.placer.reach();
  for (int i = 0; i < 3; ++i) {
    const ServerChoice choice{.server = *world.directory.Find(IdOf(i))};
    for (int failure = 0; failure < 2; ++failure) {
      world.placer.RecordResult(choice, SendResult::kUnreachable, world.now);
    }
    if (i < 2) {
      reach.RecordContact(IdOf(i + 1), "model", world.now);
    }
  }
  CHECK(!world.IsOut());
  CHECK(!world.Choose(world.Query()));
  CHECK(world.why_not == NoChoiceReason::kOutOfReach);
  PlacementQuery direct = world.Query();
  direct.may_relay = false;
  CHECK(world.Choose(direct)->reason == ChoiceReason::kOnlyEjected);
}

// The servers that didn't fail repeatedly may be sound.
TEST(ServerReach, EjectedServerInReachIsChosenIfThereIsNoOther) {
  World world(2);
  for (int i = 0; i < 2; ++i) {
    const ServerChoice choice{.server = *world.directory.Find(IdOf(i))};
    for (int failure = 0; failure < 2; ++failure) {
      world.placer.RecordResult(choice, SendResult::kMalformed, world.now);
    }
  }
  CHECK(world.Choose(world.Query())->reason == ChoiceReason::kOnlyEjected);
}

// Guards against a cut after which an instance takes more than its share of the
// slots that become free: it took the time of the failed attempts for that of
// requests.
TEST(ServerReach, FailedAttemptsDoNotShortenTheTimeOfRequests) {
  const auto count_held_back = [](int failed_attempts) {
    World world(2);
    world.placer.SetFleet(9, milliseconds(100));
    for (int i = 0; i < 60; ++i) {
      ServerChoice choice{.server = *world.directory.Find(IdOf(i % 2))};
      world.placer.RecordFirstEvent(world.Query(), choice, milliseconds(50),
                                    world.now);
      world.placer.RecordEnd(choice, seconds(2));
    }
    for (int i = 0; i < failed_attempts; ++i) {
      const ServerChoice choice{.server = *world.directory.Find(IdOf(i % 2))};
      world.placer.RecordResult(choice, SendResult::kUnreachable, world.now);
      world.placer.RecordEnd(choice, Duration{});
    }
    for (int i = 0; i < 2; ++i) {
      const ServerChoice choice{.server = *world.directory.Find(IdOf(i))};
      world.placer.RecordResult(choice, SendResult::kAnswered, world.now);
    }
    int held_back = 0;
    for (int i = 0; i < 200; ++i) {
      world.now += milliseconds(100);
      world.placer.RecordRequest(world.Query(), world.now);
      world.placer.ledger().SetPeerLoads(
          "b",
          {{.server_hash = IdHash("e0"), .load = {.running = 7}},
           {.server_hash = IdHash("e1"), .load = {.running = 7}}},
          world.now);
      held_back += world.Choose(world.Query()) ? 0 : 1;
    }
    return held_back;
  };
  const int expected = count_held_back(0);
  CHECK(expected > 20);
  CHECK_EQUAL(expected, count_held_back(100));
}

TEST(ServerReach, BeliefFollowsFailuresAndContacts) {
  CHECK(rc::check("histories", [] {
    const int servers = *rc::gen::inRange(1, 6);
    World world(servers);
    ServerReach& reach = world.placer.reach();
    // Failures since the last contact with any server.
    std::map<std::string, int> failures;
    int failure_count = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      world.now += milliseconds(*rc::gen::inRange(0, 900));
      const std::string server = IdOf(*rc::gen::inRange(0, servers));
      if (*rc::gen::inRange(0, 4) == 0) {
        reach.RecordContact(server, "model", world.now);
        failures.clear();
        failure_count = 0;
        RC_ASSERT(!world.IsOut());
        RC_ASSERT(!reach.IsOutOfReach(server, world.now));
      } else {
        reach.RecordFailure(server, "model", world.now);
        ++failures[server];
        ++failure_count;
      }
      const bool all_failed =
          static_cast<int>(failures.size()) == servers && failure_count >= 2;
      if (all_failed) {
        RC_ASSERT(world.IsOut());
        RC_ASSERT(reach.ServersOutOfReach(world.now) == servers);
      }
      if (world.IsOut()) {
        RC_ASSERT(all_failed || failures.size() >= 3);
      }
    }
    bool is_out = false;
    for (const ReachChange& change : reach.TakeChanges(world.now)) {
      RC_ASSERT(change.is_out_of_reach != is_out);
      is_out = change.is_out_of_reach;
    }
    RC_ASSERT(is_out == world.IsOut());
  }));
}
