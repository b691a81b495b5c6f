// The core of the data path: directory, ledger, budget, health, placement.
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/fleet_retry_budget.h"
#include "core/placement_queue.h"
#include "core/placer.h"
#include "core/relay_throttle.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Fixed for the same verdict every time; printed with a failure by RapidCheck.
constexpr char kParameters[] = "seed=20261204 max_success=300";

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

// Reads values of the form SERVICE:ADDRESS:STATE:INCARNATION.
class ColonDecoder : public ServerDecoder {
 public:
  [[nodiscard]] std::optional<RegisteredServer> Decode(
      const SharedDocument& document) const override {
    std::vector<std::string> words{""};
    for (const char letter : document.value) {
      if (letter == ':') {
        words.emplace_back();
      } else {
        words.back().push_back(letter);
      }
    }
    if (words.size() != 4) {
      return std::nullopt;
    }
    return RegisteredServer{.id = document.key,
                            .incarnation = std::stoull(words[3]),
                            .service = words[0],
                            .address = words[1],
                            .data_centre = "here",
                            .slots = 8,
                            .is_draining = words[2] == "leaving"};
  }
};

SharedDocument Entry(const std::string& id, std::uint64_t revision,
                     const std::string& state = "ready", int incarnation = 1) {
  return {.key = id,
          .revision = revision,
          .value = "model:a-" + id + ":" + state + ":" +
                   std::to_string(incarnation)};
}

SharedDocument Removal(const std::string& id, std::uint64_t revision) {
  return {.key = id, .revision = revision, .is_removed = true};
}

// A directory of engines e0, e1, ... and a placer over them.
struct Engines {
  explicit Engines(int count, int slots_used = 0) {
    std::vector<SharedDocument> documents;
    for (int i = 0; i < count; ++i) {
      documents.push_back(
          Entry("e" + std::to_string(i), static_cast<std::uint64_t>(i + 1)));
    }
    this->directory.Replace(documents, 100, kStart, kStart);
    for (int i = 0; i < count; ++i) {
      this->placer.ledger().Add("e" + std::to_string(i),
                                {.running = slots_used});
    }
  }

  std::optional<ServerChoice> Choose(const PlacementQuery& query) {
    return this->placer.Choose(query, kStart, this->why_not);
  }

  ColonDecoder decoder;
  BackendDirectory directory{decoder};
  Placer placer{{.data_centre = "here"}, directory};
  NoChoiceReason why_not = NoChoiceReason::kNoServer;
};

const Route kStream{.name = "stream",
                    .kind = RouteKind::kStream,
                    .target = milliseconds(500),
                    .gap_target = milliseconds(200),
                    .is_resumable = true};
const Route kLong{.name = "long",
                  .kind = RouteKind::kStream,
                  .target = milliseconds(2000),
                  .gap_target = milliseconds(800)};
const RoutedService kModel{
    .name = "model", .batch_slots = 8, .kv_capacity_tokens = 100000};

PlacementQuery QueryOf(const Route& route, std::uint64_t part = 0) {
  PlacementQuery query{.route = &route,
                       .service = &kModel,
                       .prompt_tokens = 1000,
                       .answer_tokens = 100,
                       .shortest_target = milliseconds(500)};
  if (part != 0) {
    query.parts = {{.id = part, .tokens = 800}, {.id = 99999, .tokens = 200}};
  }
  return query;
}

}  // namespace

TEST_GROUP(Routing){void setup() override{setenv("RC_PARAMS", kParameters, 1);
}
}
;

TEST(Routing, TheLongestPrefixOfTheHostWins) {
  RoutingConfiguration configuration;
  configuration.routes = {{.name = "short", .host = "h", .path_prefix = "/a/"},
                          {.name = "long", .host = "h", .path_prefix = "/a/b/"},
                          {.name = "other", .host = "i", .path_prefix = "/"}};
  configuration.BuildIndexes();
  STRCMP_EQUAL("long", configuration.FindRoute("H:80", "/a/b/c")->name.c_str());
  STRCMP_EQUAL("short", configuration.FindRoute("h", "/a/bc")->name.c_str());
  POINTERS_EQUAL(nullptr, configuration.FindRoute("h", "/a"));
  POINTERS_EQUAL(nullptr, configuration.FindRoute("j", "/a/"));
}

TEST(Routing, DirectoryEndsAlikeInWhateverOrderDocumentsCome) {
  CHECK(rc::check("order does not matter", [] {
    const auto count = *rc::gen::inRange(1, 20);
    std::vector<SharedDocument> documents;
    for (int i = 1; i <= count; ++i) {
      const std::string id = "e" + std::to_string(*rc::gen::inRange(0, 4));
      const auto revision = static_cast<std::uint64_t>(i);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          documents.push_back(Removal(id, revision));
          break;
        case 1:
          documents.push_back(Entry(id, revision, "leaving"));
          break;
        case 2:
          documents.push_back({.key = id, .revision = revision, .value = "?"});
          break;
        default:
          documents.push_back(Entry(id, revision));
      }
    }
    const ColonDecoder decoder;
    BackendDirectory in_order(decoder);
    for (const SharedDocument& document : documents) {
      in_order.Apply({document}, document.revision, kStart, kStart);
    }
    auto shuffled = documents;
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1],
                shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    BackendDirectory mixed(decoder);
    for (const SharedDocument& document : shuffled) {
      mixed.Apply({document}, document.revision, kStart, kStart);
    }
    RC_ASSERT(in_order.servers() == mixed.servers());
  }));
}

TEST(Routing, WhatChangedIsAllThatAnotherInstanceNeeds) {
  const ColonDecoder decoder;
  BackendDirectory reader(decoder);
  BackendDirectory other(decoder);
  reader.Replace({Entry("a", 1), Entry("b", 2)}, 5, kStart, kStart);
  other.ApplyUpdate(reader.UpdateSince(other.revision()), 5,
                    reader.last_read_id(), kStart, kStart);
  reader.Apply({Entry("a", 7, "leaving"), Removal("b", 8), Entry("c", 9)}, 9,
               kStart, kStart);
  other.ApplyUpdate(reader.UpdateSince(other.revision()), 9,
                    reader.last_read_id(), kStart, kStart);
  CHECK(reader.servers() == other.servers());
  CHECK(other.Find("a")->is_draining);
  POINTERS_EQUAL(nullptr, other.Find("b"));
}

TEST(Routing, ANewInstancePassesOnARemovalThatItNeverHeardOf) {
  const ColonDecoder decoder;
  BackendDirectory old_one(decoder);
  BackendDirectory new_one(decoder);
  old_one.Replace({Entry("a", 1), Entry("b", 2)}, 5, kStart, kStart);
  // The removal of b is revision 6; the new instance's first reading is later.
  new_one.Replace({Entry("a", 1)}, 7, kStart, kStart);
  old_one.ApplyUpdate(new_one.UpdateSince(old_one.revision()), 7,
                      new_one.last_read_id(), kStart, kStart);
  POINTERS_EQUAL(nullptr, old_one.Find("b"));
  CHECK(old_one.Find("a") != nullptr);
  CHECK_EQUAL(7U, old_one.revision());
}

TEST(Routing, AnUpdateThatWouldMissSomethingIsNotTaken) {
  const ColonDecoder decoder;
  BackendDirectory restarted(decoder);
  restarted.ApplyUpdate({.base_revision = 5, .documents = {Entry("a", 6)}}, 6,
                        {.reader = 1, .sequence = 1}, kStart, kStart);
  CHECK_EQUAL(0U, restarted.revision());
}

TEST(Routing, InstancesDoNotKeepAReadingYoungByTellingEachOther) {
  const ColonDecoder decoder;
  BackendDirectory one(decoder, 1);
  BackendDirectory two(decoder, 2);
  one.Replace({Entry("a", 1)}, 5, kStart, kStart);
  const auto tell = [](const BackendDirectory& from, BackendDirectory& to,
                       TimePoint at) {
    constexpr Duration kWay = milliseconds(5);
    const Duration age = at - from.read_at();
    const TimePoint arrival = at + kWay;
    to.ApplyUpdate(from.UpdateSince(to.revision()), from.revision(),
                   from.last_read_id(), arrival - age, arrival);
  };
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    tell(one, two, now);
    tell(two, one, now);
  }
  CHECK(now - one.read_at() == seconds(2));
  CHECK(now - two.read_at() <= seconds(2));
  CHECK(now - two.read_at() >= milliseconds(1995));
  // A later reading is heard of, also from an instance that began anew.
  BackendDirectory three(decoder, 3);
  three.Replace({Entry("a", 1)}, 5, now, now);
  tell(three, one, now);
  CHECK(now - one.read_at() <= Duration{});
}

TEST(Routing, FewPassOnWhatAnotherLacksAndMoreTheLongerItDoes) {
  constexpr int kInstances = 65;
  std::vector<RelayThrottle> fleet(kInstances);
  const auto senders = [&fleet](TimePoint now) {
    int count = 0;
    for (int place = 0; place < kInstances; ++place) {
      count += fleet[static_cast<std::size_t>(place)].MaySend("p", place, now)
                   ? 1
                   : 0;
    }
    return count;
  };
  CHECK_EQUAL(0, senders(kStart));
  CHECK_EQUAL(2, senders(kStart + milliseconds(300)));
  CHECK(senders(kStart + milliseconds(1500)) <= 8);
  CHECK_EQUAL(kInstances, senders(kStart + seconds(6)));
  for (RelayThrottle& turns : fleet) {
    turns.MarkUpToDate("p");
  }
  CHECK_EQUAL(0, senders(kStart + seconds(7)));
}

TEST(Routing, AHeartbeatThatSaysNothingNewIsNotPassedOn) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1)}, 1, kStart, kStart);
  CHECK(directory.Apply({Entry("a", 2)}, 2, kStart, kStart).empty());
  CHECK(directory.UpdateSince(1).documents.empty());
}

TEST(Routing, AnotherIncarnationIsARestart) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1)}, 1, kStart, kStart);
  const auto changes =
      directory.Apply({Entry("a", 2, "ready", 2)}, 2, kStart, kStart);
  CHECK(changes.at(0).kind == ServerChangeKind::kRestarted);
}

TEST(Routing, EntriesThatLapsedInAnOutageGoTwoSecondsAfterIt) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1), Entry("b", 2)}, 2, kStart, kStart);
  const TimePoint back = kStart + seconds(10);
  directory.Apply({Removal("a", 3), Removal("b", 4)}, 4, back, back);
  CHECK(directory.Find("a") != nullptr);
  directory.Apply({Entry("b", 5)}, 5, back + seconds(1), back + seconds(1));
  directory.Tick(back + milliseconds(2100));
  POINTERS_EQUAL(nullptr, directory.Find("a"));
  CHECK(directory.Find("b") != nullptr);
}

TEST(Routing, ARemovalWithoutAnOutageCountsAtOnce) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1)}, 1, kStart, kStart);
  const TimePoint soon = kStart + milliseconds(800);
  directory.Apply({Removal("a", 2)}, 2, soon, soon);
  POINTERS_EQUAL(nullptr, directory.Find("a"));
}

TEST(Routing, AnUnreadableEntryNamesNoServerAndTheOthersHold) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1), Entry("b", 2)}, 2, kStart, kStart);
  const auto changes = directory.Apply(
      {{.key = "a", .revision = 3, .value = "\xff"}}, 3, kStart, kStart);
  CHECK(changes.at(0).kind == ServerChangeKind::kUnreadable);
  POINTERS_EQUAL(nullptr, directory.Find("a"));
  CHECK(directory.Find("b") != nullptr);
}

TEST(Routing, RepeatsOfAllInstancesStayWithinTheBudgetInEveryWindow) {
  CHECK(rc::check("budget", [] {
    constexpr int kInstances = 3;
    const RetryBounds bounds{.ratio = 0.2, .slack = 30, .window = seconds(10)};
    std::vector<FleetRetryBudget> budgets(kInstances, FleetRetryBudget(bounds));
    for (FleetRetryBudget& budget : budgets) {
      budget.set_instance_count(kInstances);
    }
    std::vector<std::pair<TimePoint, bool>> events;
    TimePoint now = kStart;
    for (int i = 0; i < 600; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      FleetRetryBudget& budget =
          budgets[static_cast<std::size_t>(*rc::gen::inRange(0, kInstances))];
      if (*rc::gen::inRange(0, 3) == 0) {
        budget.RecordRequest("s", now);
        events.emplace_back(now, false);
      } else if (budget.TrySpend("s", now)) {
        events.emplace_back(now, true);
      }
    }
    for (const auto& [end, ignored] : events) {
      int requests = 0;
      int repeats = 0;
      for (const auto& [at, repeat] : events) {
        if (at <= end && end - at < bounds.window) {
          ++(repeat ? repeats : requests);
        }
      }
      RC_ASSERT(repeats <= bounds.ratio * requests + bounds.slack);
    }
  }));
}

TEST(Routing, LoadsOfOthersCountUntilTheyFallSilent) {
  LoadLedger ledger;
  ledger.Add("e", {.running = 2});
  ledger.SetPeerLoads(
      "p", {{.server_hash = IdHash("e"), .load = {.running = 3}}}, kStart);
  CHECK_EQUAL(5, ledger.TotalLoad("e", kStart).running);
  CHECK_EQUAL(2, ledger.TotalLoad("e", kStart + seconds(2)).running);
  ledger.SetPeerLoads("p", {}, kStart + seconds(2));
  CHECK_EQUAL(2, ledger.TotalLoad("e", kStart + seconds(2)).running);
}

TEST(Routing, TheSpeedModelLearnsWhatReadingTakes) {
  LatencyModel model;
  for (int i = 0; i < 400; ++i) {
    const double unread = 500.0 * (i % 20);
    const double running = i % 7;
    const double truth = 20 + unread / 1000 * 30 + running * 2;
    model.Observe("e" + std::to_string(i % 4),
                  {.prefill_tokens = unread, .running = running},
                  FromSeconds(truth / 1000), kStart);
  }
  const double predicted = ToSeconds(
      model.Predict("e1", {.prefill_tokens = 4000, .running = 3}, kStart));
  CHECK(std::abs(predicted - 0.146) < 0.02);
}

TEST(Routing, AStragglerIsToldFromItsService) {
  LatencyModel model;
  for (int i = 0; i < 200; ++i) {
    const bool slow = i % 4 == 0;
    model.Observe(slow ? "slow" : "e" + std::to_string(i % 4), {.running = 2},
                  milliseconds(slow ? 240 : 40), kStart);
  }
  CHECK(model.SlowdownFactor("slow", kStart) >
        2.5 * model.SlowdownFactor("e1", kStart));
}

TEST(Routing, AServerThatWasLateOnceIsSoonUsedAgain) {
  LatencyModel model;
  const LatencyInputs usual{.prefill_tokens = 600, .running = 2};
  for (int i = 0; i < 200; ++i) {
    model.Observe("e" + std::to_string(i % 4), usual, milliseconds(50), kStart);
  }
  const double before = ToSeconds(model.Predict("e1", usual, kStart));
  // It read a long prompt of another instance first.
  model.Observe("e1", usual, milliseconds(2500), kStart);
  CHECK(ToSeconds(model.Predict("e1", usual, kStart)) < 2 * before);
  // Nothing is sent there meanwhile, so no answer can show that it is as fast
  // as ever.
  const TimePoint later = kStart + seconds(8);
  CHECK(ToSeconds(model.Predict("e1", usual, later)) < 1.2 * before);
}

TEST(Routing, LossesInARowEjectAndAnAnswerToATrialBringsBack) {
  ServerHealth health;
  CHECK(!health.RecordResult("e", SendResult::kUnreachable, kStart));
  CHECK(health.RecordResult("e", SendResult::kUnreachable, kStart));
  CHECK(health.StatusOf("e", kStart) == ServerHealthStatus::kEjected);
  const TimePoint later = kStart + seconds(1);
  CHECK(health.StatusOf("e", later) == ServerHealthStatus::kTrial);
  health.RecordTrial("e", later);
  CHECK(health.StatusOf("e", later) == ServerHealthStatus::kEjected);
  health.RecordResult("e", SendResult::kAnswered, later);
  CHECK(health.StatusOf("e", later) == ServerHealthStatus::kHealthy);
}

TEST(Routing, ErrorsThatAllServersShareEjectNone) {
  ServerHealth health;
  bool ejected = false;
  for (int i = 0; i < 200; ++i) {
    for (const char* server : {"a", "b", "c"}) {
      ejected |= health.RecordResult(
          server, i % 3 == 0 ? SendResult::kError : SendResult::kAnswered,
          kStart + milliseconds(i));
    }
  }
  CHECK(!ejected);
}

TEST(Routing, AServerThatLeavesIsNeverChosen) {
  Engines engines(3);
  engines.directory.Apply({Entry("e1", 200, "leaving")}, 200, kStart, kStart);
  for (std::uint64_t part = 1; part < 50; ++part) {
    const auto choice = engines.Choose(QueryOf(kStream, part));
    CHECK(choice.has_value() && choice->server.id != "e1");
  }
}

TEST(Routing, RequestsOfOnePartShareAServerWhileItHasRoom) {
  Engines engines(6);
  std::map<std::uint64_t, std::string> homes;
  for (int round = 0; round < 3; ++round) {
    for (std::uint64_t part = 1; part <= 20; ++part) {
      const auto choice = engines.Choose(QueryOf(kStream, part));
      const auto [home, first] = homes.emplace(part, choice->server.id);
      STRCMP_EQUAL(home->second.c_str(), choice->server.id.c_str());
    }
  }
  std::set<std::string> used;
  for (const auto& [part, server] : homes) {
    used.insert(server);
  }
  CHECK(used.size() >= 4);
}

TEST(Routing, AHotPartSpreadsOnceItsServerWouldBeLate) {
  Engines engines(6);
  std::map<std::string, int> by_server;
  for (int i = 0; i < 40; ++i) {
    const PlacementQuery query = QueryOf(kStream, 7);
    if (const auto choice = engines.Choose(query)) {
      engines.placer.RecordSend(query, *choice, kStart);
      ++by_server[choice->server.id];
    }
  }
  CHECK(by_server.size() > 1);
}

TEST(Routing, LowerTiersLeaveRoomForHigherOnes) {
  // Seven of eight slots are taken everywhere.
  Engines engines(4, 7);
  PlacementQuery query = QueryOf(kStream);
  query.tier = 3;
  CHECK(!engines.Choose(query).has_value());
  CHECK(engines.why_not == NoChoiceReason::kHeldBack);
  query.tier = 0;
  CHECK(engines.Choose(query).has_value());
}

TEST(Routing, RequestsOfInstancesThatAreCutOffCountByTheServersReport) {
  Engines engines(2);
  for (const char* server : {"e0", "e1"}) {
    engines.placer.ledger().Add(server, {.running = 2, .kv_tokens = 30000});
  }
  CHECK(engines.Choose(QueryOf(kStream)).has_value());
  // Six run, so four more of the same size fill the memory of 100,000 tokens.
  engines.placer.SetReportedLoad("e0", 6, 0, kStart);
  engines.placer.SetReportedLoad("e1", 6, 0, kStart);
  CHECK(!engines.Choose(QueryOf(kStream)).has_value());
  CHECK(engines.why_not == NoChoiceReason::kHeldBack);
}

TEST(Routing, InstancesThatSeeTheSameRoomDoNotAllFillIt) {
  // Nine instances see two engines with room for half of their memory.
  std::vector<std::unique_ptr<Engines>> fleet;
  int sent = 0;
  for (int i = 0; i < 9; ++i) {
    fleet.push_back(std::make_unique<Engines>(2));
    Engines& one = *fleet.back();
    one.placer.SetFleet(9, milliseconds(100));
    one.placer.ledger().SetPeerLoads(
        "p",
        {{.server_hash = IdHash("e0"),
          .load = {.running = 1, .kv_tokens = 50000}},
         {.server_hash = IdHash("e1"),
          .load = {.running = 1, .kv_tokens = 50000}}},
        kStart);
    for (int j = 0; j < 40; ++j) {
      const PlacementQuery query = QueryOf(kStream);
      if (const auto choice = one.Choose(query)) {
        one.placer.RecordSend(query, *choice, kStart);
        ++sent;
      }
    }
  }
  // 1,100 tokens each: two engines have room for 54 up to 0.8 of 100,000, and
  // for 12 up to their eight slots, of which one is taken.
  CHECK(sent >= 9);
  CHECK(sent <= 18);
}

TEST(Routing, LongPromptsKeepAwayFromStreamsThatBearNoPauses) {
  Engines engines(8);
  PlacementQuery heavy = QueryOf(kLong);
  heavy.tolerates_pauses = true;
  heavy.prompt_tokens = 20000;
  std::map<std::string, int> heavy_at;
  std::map<std::string, int> light_at;
  constexpr std::uint64_t kSettled = 200;
  for (std::uint64_t i = 1; i <= 2 * kSettled; ++i) {
    engines.placer.RecordRequest(heavy, kStart);
    const std::string heavy_server = engines.Choose(heavy)->server.id;
    const PlacementQuery light = QueryOf(kStream);
    engines.placer.RecordRequest(light, kStart);
    const std::string light_server = engines.Choose(light)->server.id;
    // The division follows the work at first.
    if (i > kSettled) {
      ++heavy_at[heavy_server];
      ++light_at[light_server];
    }
  }
  for (const auto& [server, count] : heavy_at) {
    CHECK(!light_at.contains(server));
  }
}

TEST(Routing, TheDivisionFollowsTheWorkOfAllInstances) {
  // The instance that decides sees one long request for four short ones; the
  // others together have far more long work.
  Engines engines(10);
  engines.placer.SetFleet(9, milliseconds(100));
  PlacementQuery heavy = QueryOf(kLong);
  heavy.tolerates_pauses = true;
  for (int i = 0; i < 10; ++i) {
    engines.placer.RecordRequest(heavy, kStart);
    for (int j = 0; j < 4; ++j) {
      engines.placer.RecordRequest(QueryOf(kStream), kStart);
    }
  }
  const double alone = engines.placer.Partitions(kStart).at(0).reserved_share;
  ServicePartition told = engines.placer.Partitions(kStart).at(0);
  told.pause_tolerant_work *= 20;
  engines.placer.SetPeerWork("p", {told}, kStart);
  engines.placer.RecordRequest(heavy, kStart);
  const double together =
      engines.placer.Partitions(kStart).at(0).reserved_share;
  CHECK(alone < 0.5);
  CHECK(together > 0.6);
  // A burst is over for the division a few seconds after it is over.
  const TimePoint later = kStart + seconds(30);
  for (int i = 0; i < 40; ++i) {
    engines.placer.RecordRequest(QueryOf(kStream), later);
  }
  CHECK(engines.placer.Partitions(later).at(0).reserved_share < 0.2);
}

TEST(Routing, ASuspectedDataCentreIsAvoidedWhileThereAreOthers) {
  const ColonDecoder decoder;
  Engines engines(2);
  engines.placer.SetSuspectedDataCentres({"here"});
  CHECK(engines.Choose(QueryOf(kStream)).has_value());
}

TEST(Routing, ServersAreToldTheWholeOrderOfUrgency) {
  constexpr int kRanks = 10;
  // Customers of one tier: the route decides, or a server would put a long
  // request of theirs before a prompt one.
  CHECK(PriorityLevel({.tier = 1, .route_tier = 0}, 2, kRanks) <
        PriorityLevel({.tier = 1, .route_tier = 2}, 2, kRanks));
  CHECK(PriorityLevel({.tier = 0, .route_tier = 2}, 2, kRanks) <
        PriorityLevel({.tier = 1, .route_tier = 0}, 2, kRanks));
  // More tiers than a server can tell apart in pairs.
  CHECK_EQUAL(3, PriorityLevel({.tier = 3, .route_tier = 1}, 5, kRanks));
  CHECK_EQUAL(9, PriorityLevel({.tier = 20, .route_tier = 20}, 20, kRanks));
}

TEST(Routing, TheMoreUrgentWaitsFirst) {
  PlacementQueue line;
  line.Add(1, {.tier = 1, .route_tier = 0}, kStart);
  line.Add(2, {.tier = 0, .route_tier = 2}, kStart + seconds(2));
  line.Add(3, {.tier = 0, .route_tier = 0}, kStart + seconds(3));
  line.Add(4, {.tier = 0, .route_tier = 2}, kStart + seconds(1));
  CHECK((line.OrderedIds() == std::vector<RequestId>{3, 4, 2, 1}));
  CHECK(line.HasMoreUrgent({.tier = 0, .route_tier = 1}));
  CHECK(!line.HasMoreUrgent({.tier = 0, .route_tier = 0}));
  line.Remove(3, true, kStart);
  CHECK(!line.HasMoreUrgent({.tier = 0, .route_tier = 1}));
}
