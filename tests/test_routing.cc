// Tests of the core of the data path: directory, load ledger, retry budget,
// health, latency model and placement.
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/fleet_retry_budget.h"
#include "core/placement_queues.h"
#include "core/placer.h"
#include "core/prompt_sizes.h"
#include "core/relay_throttle.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// A fixed seed makes the result reproducible; RapidCheck prints it on failure.
constexpr char kRapidCheckParameters[] = "seed=20261204 max_success=300";

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

// Decodes values of the form SERVICE:ADDRESS:STATE:INCARNATION.
class ColonDecoder : public ServerDecoder {
 public:
  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
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
      return tl::unexpected(std::string("not four words"));
    }
    return RegisteredServer{.id = document.key,
                            .incarnation = std::stoull(words[3]),
                            .service = words[0],
                            .address = words[1],
                            .data_centre = "here",
                            .slots = 8,
                            .is_draining = words[2] == "draining"};
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

// A directory of engines e0, e1, ... and a placer that uses it.
struct Engines {
  explicit Engines(int count, int slots_in_use = 0) {
    std::vector<SharedDocument> documents;
    for (int i = 0; i < count; ++i) {
      documents.push_back(
          Entry("e" + std::to_string(i), static_cast<std::uint64_t>(i + 1)));
    }
    this->directory.Replace(documents, 100, kStart, kStart);
    for (int i = 0; i < count; ++i) {
      this->placer.ledger().Add("e" + std::to_string(i),
                                {.running = slots_in_use});
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
                       .expected_output_tokens = 100,
                       .shortest_target = milliseconds(500)};
  if (part != 0) {
    query.parts = {{.id = part, .tokens = 800}, {.id = 99999, .tokens = 200}};
  }
  return query;
}

}  // namespace

TEST_GROUP(Routing){void setup()
                        override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

TEST(Routing, LongestPathPrefixOfTheHostMatches) {
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

TEST(Routing, DirectoryDoesNotDependOnTheOrderOfDocuments) {
  CHECK(rc::check("the order of documents does not matter", [] {
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
          documents.push_back(Entry(id, revision, "draining"));
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

TEST(Routing, DeltaBringsAnotherInstanceUpToDate) {
  const ColonDecoder decoder;
  BackendDirectory reader(decoder);
  BackendDirectory other(decoder);
  reader.Replace({Entry("a", 1), Entry("b", 2)}, 5, kStart, kStart);
  other.ApplyUpdate(reader.UpdateSince(other.revision()), 5,
                    reader.last_read_id(), kStart, kStart);
  reader.Apply({Entry("a", 7, "draining"), Removal("b", 8), Entry("c", 9)}, 9,
               kStart, kStart);
  other.ApplyUpdate(reader.UpdateSince(other.revision()), 9,
                    reader.last_read_id(), kStart, kStart);
  CHECK(reader.servers() == other.servers());
  CHECK(other.Find("a")->is_draining);
  POINTERS_EQUAL(nullptr, other.Find("b"));
}

TEST(Routing, NewInstanceRelaysARemovalFromBeforeItsFirstRead) {
  const ColonDecoder decoder;
  BackendDirectory old_instance(decoder);
  BackendDirectory new_instance(decoder);
  old_instance.Replace({Entry("a", 1), Entry("b", 2)}, 5, kStart, kStart);
  // b was removed at revision 6, before the new instance's first read.
  new_instance.Replace({Entry("a", 1)}, 7, kStart, kStart);
  old_instance.ApplyUpdate(new_instance.UpdateSince(old_instance.revision()), 7,
                           new_instance.last_read_id(), kStart, kStart);
  POINTERS_EQUAL(nullptr, old_instance.Find("b"));
  CHECK(old_instance.Find("a") != nullptr);
  CHECK_EQUAL(7U, old_instance.revision());
}

TEST(Routing, DeltaThatLeavesAGapIsIgnored) {
  const ColonDecoder decoder;
  BackendDirectory restarted(decoder);
  restarted.ApplyUpdate({.base_revision = 5, .documents = {Entry("a", 6)}}, 6,
                        {.reader = 1, .sequence = 1}, kStart, kStart);
  CHECK_EQUAL(0U, restarted.revision());
}

// Guards against instances that relay one read to each other in turn: each
// relay takes time that the reported age does not include, so the read would
// never grow old.
TEST(Routing, RelayedReadKeepsItsAge) {
  const ColonDecoder decoder;
  BackendDirectory one(decoder, 1);
  BackendDirectory two(decoder, 2);
  one.Replace({Entry("a", 1)}, 5, kStart, kStart);
  const auto send_update = [](const BackendDirectory& from,
                              BackendDirectory& to, TimePoint at) {
    constexpr Duration kDelay = milliseconds(5);
    const Duration age = at - from.read_at();
    const TimePoint arrival = at + kDelay;
    to.ApplyUpdate(from.UpdateSince(to.revision()), from.revision(),
                   from.last_read_id(), arrival - age, arrival);
  };
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    send_update(one, two, now);
    send_update(two, one, now);
  }
  CHECK(now - one.read_at() == seconds(2));
  CHECK(now - two.read_at() <= seconds(2));
  CHECK(now - two.read_at() >= milliseconds(1995));
  // A later read is accepted, also from an instance that has just started.
  BackendDirectory three(decoder, 3);
  three.Replace({Entry("a", 1)}, 5, now, now);
  send_update(three, one, now);
  CHECK(now - one.read_at() <= Duration{});
}

TEST(Routing, NumberOfRelayingInstancesGrowsWithTheLag) {
  constexpr int kInstances = 65;
  std::vector<RelayThrottle> throttles(kInstances);
  const auto senders = [&throttles](TimePoint now) {
    int count = 0;
    for (int rank = 0; rank < kInstances; ++rank) {
      count +=
          throttles[static_cast<std::size_t>(rank)].MaySend("p", 1, rank, now)
              ? 1
              : 0;
    }
    return count;
  };
  CHECK_EQUAL(0, senders(kStart));
  CHECK_EQUAL(2, senders(kStart + milliseconds(300)));
  CHECK(senders(kStart + milliseconds(1500)) <= 8);
  CHECK_EQUAL(kInstances, senders(kStart + seconds(6)));
  for (RelayThrottle& throttle : throttles) {
    throttle.MarkUpToDate("p");
  }
  CHECK_EQUAL(0, senders(kStart + seconds(7)));
}

// Guards against a fleet whose links are filled by relayed configurations: when
// versions follow each other faster than reports, every receiver seems to lag.
TEST(Routing, ReceiverThatGetsNewRevisionsIsNotRelayedTo) {
  constexpr auto kVersionInterval = milliseconds(170);
  constexpr auto kReportInterval = milliseconds(520);
  RelayThrottle throttle;
  int sent = 0;
  for (TimePoint now = kStart; now < kStart + seconds(5);
       now += kReportInterval) {
    const auto latest = static_cast<std::uint64_t>(
        (now - kStart) / Duration(kVersionInterval) + 10);
    // The receiver has had each version at once; its report is older. No other
    // instance is known to have the latest version, so the rank is 0.
    sent += throttle.MaySend("p", latest - 3, 0, now) ? 1 : 0;
  }
  CHECK_EQUAL(0, sent);
}

TEST(Routing, ReceiverThatStopsGettingRevisionsIsRelayedTo) {
  RelayThrottle throttle;
  CHECK(!throttle.MaySend("p", 1, 0, kStart));
  CHECK(!throttle.MaySend("p", 2, 0, kStart + milliseconds(500)));
  CHECK(throttle.MaySend("p", 2, 1, kStart + milliseconds(800)));
  CHECK(!throttle.MaySend("p", 2, 2, kStart + milliseconds(800)));
}

TEST(Routing, UnchangedHeartbeatIsNotRelayed) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1)}, 1, kStart, kStart);
  CHECK(directory.Apply({Entry("a", 2)}, 2, kStart, kStart).empty());
  CHECK(directory.UpdateSince(1).documents.empty());
}

TEST(Routing, NewIncarnationIsARestart) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1)}, 1, kStart, kStart);
  const auto changes =
      directory.Apply({Entry("a", 2, "ready", 2)}, 2, kStart, kStart);
  CHECK(changes.at(0).kind == ServerChangeKind::kRestarted);
}

TEST(Routing, EntryThatExpiredInAnOutageIsRemovedTwoSecondsAfterIt) {
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

TEST(Routing, RemovalWithoutAnOutageTakesEffectImmediately) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1)}, 1, kStart, kStart);
  const TimePoint soon = kStart + milliseconds(800);
  directory.Apply({Removal("a", 2)}, 2, soon, soon);
  POINTERS_EQUAL(nullptr, directory.Find("a"));
}

TEST(Routing, UnreadableEntryRemovesOnlyItsOwnServer) {
  const ColonDecoder decoder;
  BackendDirectory directory(decoder);
  directory.Replace({Entry("a", 1), Entry("b", 2)}, 2, kStart, kStart);
  const auto changes = directory.Apply(
      {{.key = "a", .revision = 3, .value = "\xff"}}, 3, kStart, kStart);
  CHECK(changes.at(0).kind == ServerChangeKind::kUnreadable);
  POINTERS_EQUAL(nullptr, directory.Find("a"));
  CHECK(directory.Find("b") != nullptr);
}

TEST(Routing, RetriesOfAllInstancesStayWithinTheBudgetInEveryWindow) {
  CHECK(rc::check("retries stay within the budget", [] {
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
      int retries = 0;
      for (const auto& [at, is_retry] : events) {
        if (at <= end && end - at < bounds.window) {
          ++(is_retry ? retries : requests);
        }
      }
      RC_ASSERT(retries <= bounds.ratio * requests + bounds.slack);
    }
  }));
}

TEST(Routing, LoadOfAPeerExpiresWhenItStopsReporting) {
  LoadLedger ledger;
  ledger.Add("e", {.running = 2});
  ledger.SetPeerLoads(
      "p", {{.server_hash = IdHash("e"), .load = {.running = 3}}}, kStart);
  CHECK_EQUAL(5, ledger.TotalLoad("e", kStart).running);
  CHECK_EQUAL(2, ledger.TotalLoad("e", kStart + seconds(2)).running);
  ledger.SetPeerLoads("p", {}, kStart + seconds(2));
  CHECK_EQUAL(2, ledger.TotalLoad("e", kStart + seconds(2)).running);
}

TEST(Routing, LatencyModelLearnsTheCostOfPrefill) {
  LatencyModel model;
  for (int i = 0; i < 400; ++i) {
    const double prefill_tokens = 500.0 * (i % 20);
    const double running = i % 7;
    const double actual_ms = 20 + prefill_tokens / 1000 * 30 + running * 2;
    model.Observe("e" + std::to_string(i % 4),
                  {.prefill_tokens = prefill_tokens, .running = running},
                  FromSeconds(actual_ms / 1000), kStart);
  }
  const double predicted = ToSeconds(
      model.Predict("e1", {.prefill_tokens = 4000, .running = 3}, kStart));
  CHECK(std::abs(predicted - 0.146) < 0.02);
}

TEST(Routing, LatencyModelDetectsASlowServer) {
  LatencyModel model;
  for (int i = 0; i < 200; ++i) {
    const bool slow = i % 4 == 0;
    model.Observe(slow ? "slow" : "e" + std::to_string(i % 4), {.running = 2},
                  milliseconds(slow ? 240 : 40), kStart);
  }
  CHECK(model.SlowdownFactor("slow", kStart) >
        2.5 * model.SlowdownFactor("e1", kStart));
}

TEST(Routing, OneLateAnswerDoesNotExcludeAServerForLong) {
  LatencyModel model;
  const LatencyInputs usual{.prefill_tokens = 600, .running = 2};
  for (int i = 0; i < 200; ++i) {
    model.Observe("e" + std::to_string(i % 4), usual, milliseconds(50), kStart);
  }
  const double before = ToSeconds(model.Predict("e1", usual, kStart));
  // The server first prefilled a long prompt of another instance.
  model.Observe("e1", usual, milliseconds(2500), kStart);
  CHECK(ToSeconds(model.Predict("e1", usual, kStart)) < 2 * before);
  // Nothing is sent there meanwhile, so no answer can show that the server is
  // fast again; the factor must decay by itself.
  const TimePoint later = kStart + seconds(8);
  CHECK(ToSeconds(model.Predict("e1", usual, later)) < 1.2 * before);
}

TEST(Routing, ConsecutiveLossesEjectAndASuccessfulTrialRestores) {
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

TEST(Routing, ErrorsAtAllServersEjectNone) {
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

TEST(Routing, DrainingServerIsNeverChosen) {
  Engines engines(3);
  engines.directory.Apply({Entry("e1", 200, "draining")}, 200, kStart, kStart);
  for (std::uint64_t part = 1; part < 50; ++part) {
    const auto choice = engines.Choose(QueryOf(kStream, part));
    CHECK(choice.has_value() && choice->server.id != "e1");
  }
}

TEST(Routing, RequestsWithTheSamePartShareAServerWithCapacity) {
  Engines engines(6);
  std::map<std::uint64_t, std::string> server_by_part;
  for (int round = 0; round < 3; ++round) {
    for (std::uint64_t part = 1; part <= 20; ++part) {
      const auto choice = engines.Choose(QueryOf(kStream, part));
      const auto [item, is_first] =
          server_by_part.emplace(part, choice->server.id);
      STRCMP_EQUAL(item->second.c_str(), choice->server.id.c_str());
    }
  }
  std::set<std::string> used;
  for (const auto& [part, server] : server_by_part) {
    used.insert(server);
  }
  CHECK(used.size() >= 4);
}

TEST(Routing, EnginesThatMoreUrgentRequestsWaitForAreNotChosen) {
  Engines engines(6);
  PlacementQuery long_query = QueryOf(kLong);
  long_query.tolerates_pauses = true;
  engines.placer.RecordRequest(long_query, kStart);
  PlacementQuery query = QueryOf(kStream);
  const auto chosen_side = [&engines, &query]() -> std::string {
    const auto choice = engines.Choose(query);
    return !choice ? "none" : choice->is_reserved ? "reserved" : "unreserved";
  };
  STRCMP_EQUAL("unreserved", chosen_side().c_str());
  query.withheld = {.reserved = true};
  STRCMP_EQUAL("unreserved", chosen_side().c_str());
  query.withheld = {.unreserved = true};
  STRCMP_EQUAL("reserved", chosen_side().c_str());
  query.withheld = {.reserved = true, .unreserved = true};
  STRCMP_EQUAL("none", chosen_side().c_str());
  CHECK(engines.why_not == NoChoiceReason::kHeldBack);
}

TEST(Routing, ServiceWithoutAPartitionIsWithheldAsAWhole) {
  Engines engines(2);
  PlacementQuery query = QueryOf(kStream);
  CHECK(engines.Choose(query).has_value());
  query.withheld = {.reserved = true};
  CHECK(!engines.Choose(query).has_value());
}

TEST(Routing, HotPartSpreadsWhenItsServerIsSaturated) {
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

TEST(Routing, LowerTiersLeaveHeadroomForHigherOnes) {
  // Seven of eight slots are in use at every server.
  Engines engines(4, 7);
  PlacementQuery query = QueryOf(kStream);
  query.tier = 3;
  CHECK(!engines.Choose(query).has_value());
  CHECK(engines.why_not == NoChoiceReason::kHeldBack);
  query.tier = 0;
  CHECK(engines.Choose(query).has_value());
}

TEST(Routing, ServerReportRevealsLoadOfUnreachableInstances) {
  Engines engines(2);
  for (const char* server : {"e0", "e1"}) {
    engines.placer.ledger().Add(server, {.running = 2, .kv_tokens = 30000});
  }
  CHECK(engines.Choose(QueryOf(kStream)).has_value());
  // Six requests run there, so four unknown ones of the same size fill the KV
  // cache of 100,000 tokens.
  engines.placer.ApplyLoadReport("e0", 6, 0, kStart);
  engines.placer.ApplyLoadReport("e1", 6, 0, kStart);
  CHECK(!engines.Choose(QueryOf(kStream)).has_value());
  CHECK(engines.why_not == NoChoiceReason::kHeldBack);
}

TEST(Routing, InstancesThatSeeTheSameCapacityDoNotOverfillIt) {
  // Nine instances see two engines whose KV cache is half full.
  std::vector<std::unique_ptr<Engines>> fleet;
  int sent = 0;
  for (int i = 0; i < 9; ++i) {
    fleet.push_back(std::make_unique<Engines>(2));
    Engines& instance = *fleet.back();
    instance.placer.SetFleet(9, milliseconds(100));
    instance.placer.ledger().SetPeerLoads(
        "p",
        {{.server_hash = IdHash("e0"),
          .load = {.running = 1, .kv_tokens = 50000}},
         {.server_hash = IdHash("e1"),
          .load = {.running = 1, .kv_tokens = 50000}}},
        kStart);
    for (int j = 0; j < 40; ++j) {
      const PlacementQuery query = QueryOf(kStream);
      if (const auto choice = instance.Choose(query)) {
        instance.placer.RecordSend(query, *choice, kStart);
        ++sent;
      }
    }
  }
  // With 1,100 tokens each, two engines could take 54 more up to 0.8 of their
  // 100,000 tokens, and 14 more up to their eight slots, of which one is used.
  CHECK(sent >= 9);
  CHECK(sent <= 18);
}

TEST(Routing, LongPromptsAreSeparatedFromGapSensitiveStreams) {
  Engines engines(8);
  PlacementQuery long_query = QueryOf(kLong);
  long_query.tolerates_pauses = true;
  long_query.prompt_tokens = 20000;
  std::map<std::string, int> long_counts;
  std::map<std::string, int> short_counts;
  constexpr std::uint64_t kRoundsToSettle = 200;
  for (std::uint64_t i = 1; i <= 2 * kRoundsToSettle; ++i) {
    engines.placer.RecordRequest(long_query, kStart);
    const std::string long_server = engines.Choose(long_query)->server.id;
    const PlacementQuery short_query = QueryOf(kStream);
    engines.placer.RecordRequest(short_query, kStart);
    const std::string short_server = engines.Choose(short_query)->server.id;
    // The partition follows the work only after some rounds.
    if (i > kRoundsToSettle) {
      ++long_counts[long_server];
      ++short_counts[short_server];
    }
  }
  for (const auto& [server, count] : long_counts) {
    CHECK(!short_counts.contains(server));
  }
}

TEST(Routing, PartitionFollowsTheWorkOfAllInstances) {
  // The leader sees one long request for four short ones; the peers have far
  // more pause-tolerant work.
  Engines engines(10);
  engines.placer.SetFleet(9, milliseconds(100));
  PlacementQuery long_query = QueryOf(kLong);
  long_query.tolerates_pauses = true;
  for (int i = 0; i < 10; ++i) {
    engines.placer.RecordRequest(long_query, kStart);
    for (int j = 0; j < 4; ++j) {
      engines.placer.RecordRequest(QueryOf(kStream), kStart);
    }
  }
  const double alone = engines.placer.Partitions(kStart).at(0).reserved_share;
  ServicePartition peer_work = engines.placer.Partitions(kStart).at(0);
  peer_work.pause_tolerant_work *= 20;
  engines.placer.SetPeerWork("p", {peer_work}, kStart);
  engines.placer.RecordRequest(long_query, kStart);
  const double together =
      engines.placer.Partitions(kStart).at(0).reserved_share;
  CHECK(alone < 0.5);
  CHECK(together > 0.6);
  // The partition forgets a burst within seconds after its end.
  const TimePoint later = kStart + seconds(30);
  for (int i = 0; i < 40; ++i) {
    engines.placer.RecordRequest(QueryOf(kStream), later);
  }
  CHECK(engines.placer.Partitions(later).at(0).reserved_share < 0.2);
}

TEST(Routing, SuspectedDataCentreIsUsedIfThereIsNoOther) {
  const ColonDecoder decoder;
  Engines engines(2);
  engines.placer.SetSuspectedDataCentres({"here"});
  CHECK(engines.Choose(QueryOf(kStream)).has_value());
}

TEST(Routing, PriorityLevelsKeepTheOrderOfUrgency) {
  constexpr int kLevels = 10;
  // Within a customer's tier the route's tier decides; otherwise a server could
  // serve a customer's slow route before an interactive one.
  CHECK(PriorityLevel({.tier = 1, .route_tier = 0}, 2, kLevels) <
        PriorityLevel({.tier = 1, .route_tier = 2}, 2, kLevels));
  CHECK(PriorityLevel({.tier = 0, .route_tier = 2}, 2, kLevels) <
        PriorityLevel({.tier = 1, .route_tier = 0}, 2, kLevels));
  // With too many tiers for all pairs, only the tier counts.
  CHECK_EQUAL(3, PriorityLevel({.tier = 3, .route_tier = 1}, 5, kLevels));
  CHECK_EQUAL(9, PriorityLevel({.tier = 20, .route_tier = 20}, 20, kLevels));
}

TEST(Routing, MoreUrgentRequestsComeFirstInTheQueue) {
  PlacementQueue queue;
  queue.Add(1, {.tier = 1, .route_tier = 0}, kStart);
  queue.Add(2, {.tier = 0, .route_tier = 2}, kStart + seconds(2));
  queue.Add(3, {.tier = 0, .route_tier = 0}, kStart + seconds(3));
  queue.Add(4, {.tier = 0, .route_tier = 2}, kStart + seconds(1));
  CHECK((queue.OrderedIds() == std::vector<RequestId>{3, 4, 2, 1}));
  CHECK(queue.HasMoreUrgent({.tier = 0, .route_tier = 1}));
  CHECK(!queue.HasMoreUrgent({.tier = 0, .route_tier = 0}));
  CHECK_EQUAL(1, queue.CountAhead({.tier = 0, .route_tier = 0}));
  CHECK_EQUAL(4, queue.CountAhead({.tier = 1, .route_tier = 0}));
  queue.Remove(3, true, kStart);
  CHECK(!queue.HasMoreUrgent({.tier = 0, .route_tier = 1}));
}

TEST(Routing, EnginesOfOneSideAreWithheldForAWaitingRequest) {
  const Urgency first{.tier = 0, .route_tier = 2};
  const Urgency lower{.tier = 1, .route_tier = 0};
  PlacementQueues queues;
  CHECK(queues.WithheldOnArrival("model", lower) == WithheldEngines{});
  queues.Of("model", true).Add(1, first, kStart);
  CHECK(queues.WithheldOnArrival("model", lower) ==
        WithheldEngines{.reserved = true});
  CHECK(queues.WithheldOnArrival("model", first) == WithheldEngines{});
  CHECK(queues.WithheldOnArrival("other", lower) == WithheldEngines{});
  CHECK(queues.WithheldWhileWaiting("model", false, lower) ==
        WithheldEngines{.reserved = true});
  CHECK(queues.WithheldWhileWaiting("model", true, lower) == WithheldEngines{});
  queues.Of("model", false).Add(2, first, kStart);
  CHECK(queues.WithheldWhileWaiting("model", true, lower) ==
        WithheldEngines{.unreserved = true});
}

TEST(Routing, RequestThatAwaitsItsAffinityServerIsNotAheadOfOthers) {
  PlacementQueue queue;
  const Urgency lower{.tier = 1, .route_tier = 0};
  queue.Add(1, {.tier = 0, .route_tier = 0}, kStart, WaitReason::kAffinity);
  CHECK(!queue.HasMoreUrgent(lower));
  CHECK_EQUAL(0, queue.CountAhead(lower));
  queue.Add(2, {.tier = 0, .route_tier = 1}, kStart);
  CHECK(queue.HasMoreUrgent(lower));
  CHECK_EQUAL(1, queue.CountAhead(lower));
  // It is still tried in the order of urgency.
  CHECK((queue.OrderedIds() == std::vector<RequestId>{1, 2}));
  queue.SetReason(1, WaitReason::kCapacity);
  CHECK_EQUAL(2, queue.CountAhead(lower));
}

// Guards against prompts that stay away from their server once it names no
// limit any more, and against requests that wait for a limited one.
TEST(Routing, PromptLeavesALimitedServerAndReturnsAfterwards) {
  Engines engines(4);
  const PlacementQuery query = QueryOf(kStream, 7);
  const RegisteredServer home = engines.Choose(query)->server;
  engines.placer.ObserveRateLimit(home, 1, kStart, kStart);
  PlacementQuery waiting = query;
  waiting.affinity_wait_until = kStart + seconds(1);
  const auto choice = engines.Choose(waiting);
  CHECK(choice.has_value());
  CHECK(choice->server.id != home.id);
  CHECK(choice->affinity_limit == CapacityLimit::kRate);
  engines.placer.ObserveRateLimit(home, std::nullopt, kStart, kStart);
  STRCMP_EQUAL(home.id.c_str(), engines.Choose(query)->server.id.c_str());
}

// Guards against a limit that is exceeded by the trials of ejected servers, and
// against refusals that don't say when to come back.
TEST(Routing, LimitHoldsForEjectedServersAndNamesATime) {
  Engines engines(3);
  const PlacementQuery query = QueryOf(kStream);
  for (const auto& [id, server] : engines.directory.servers()) {
    engines.placer.ObserveRateLimit(server, 0.5, kStart, kStart);
  }
  CHECK(!engines.Choose(query).has_value());
  CHECK(engines.why_not == NoChoiceReason::kRateLimited);
  CHECK(engines.placer.EstimateRetryDelay(query, kStart) == seconds(2));
  for (const auto& [id, server] : engines.directory.servers()) {
    for (int i = 0; i < 20; ++i) {
      engines.placer.RecordResult({.server = server}, SendResult::kUnreachable,
                                  kStart);
    }
  }
  CHECK(!engines.Choose(query).has_value());
  CHECK(engines.why_not == NoChoiceReason::kUnreachable);
}

// Guards against a stream that goes on at another software version, by its
// prompt's affinity or for lack of capacity.
TEST(Routing, StreamGoesOnOnlyAtItsSoftware) {
  for (std::uint64_t part = 1; part <= 20; ++part) {
    Engines engines(6);
    PlacementQuery query = QueryOf(kStream, part);
    const RegisteredServer own = *engines.directory.Find("e3");
    // Engines of unknown version have different software.
    query.required_software = SoftwareHash(own);
    const auto choice = engines.Choose(query);
    CHECK(choice.has_value());
    STRCMP_EQUAL("e3", choice->server.id.c_str());
    engines.placer.ledger().Add("e3", {.running = 8});
    CHECK(!engines.Choose(query));
    CHECK(engines.why_not == NoChoiceReason::kAwaitsSoftware);
    query.required_software = 1;
    CHECK(!engines.Choose(query));
    CHECK(engines.why_not == NoChoiceReason::kSoftwareGone);
  }
}

// Guards against streams that wait for the servers of their version and make
// instances refuse or hold back all others.
TEST(Routing, RequestThatAwaitsItsSoftwareIsNotAheadOfOthers) {
  PlacementQueue queue;
  queue.Add(1, {.tier = 0}, kStart, WaitReason::kSoftware);
  CHECK(!queue.HasMoreUrgent({.tier = 2}));
  LONGS_EQUAL(0, queue.CountAhead({.tier = 2}));
}

// Guards against long prompts whose prefill pauses the streams of a route with
// a slightly shorter gap target, on every engine.
TEST(Routing, RoutesOfLongPromptsAreKeptApart) {
  RoutingConfiguration configuration;
  for (const int gap_ms : {300, 500, 600}) {
    Route route{.name = std::to_string(gap_ms), .kind = RouteKind::kStream};
    route.services = {{.service = "model", .weight = 1}};
    route.gap_target = milliseconds(gap_ms);
    configuration.routes.push_back(route);
  }
  configuration.BuildIndexes();
  constexpr int kShortPrompt = 2400;
  constexpr int kLongPrompt = 9200;
  const auto tolerates = [&](std::size_t route, int prompt_tokens) {
    return configuration.ToleratesPauses(configuration.routes[route], "model",
                                         prompt_tokens);
  };
  CHECK(!tolerates(0, kLongPrompt));
  CHECK(!tolerates(1, kShortPrompt));
  CHECK(tolerates(1, kLongPrompt));
  CHECK(tolerates(2, kShortPrompt));
}

// Guards against a route whose requests go to both sides of the partition,
// since their sizes differ.
TEST(Routing, PromptSizeIsAveragedOverARoutesRequests) {
  PromptSizes sizes;
  CHECK_EQUAL(8000, sizes.Record("long", 8000));
  CHECK_EQUAL(1000, sizes.Record("short", 1000));
  CHECK_EQUAL(9000, sizes.Record("long", 10000));
  for (int i = 0; i < 100; ++i) {
    sizes.Record("long", 9000);
  }
  CHECK(sizes.Record("long", 100) > 8000);
  // The route's prompts have become short.
  int average = 0;
  for (int i = 0; i < 300; ++i) {
    average = sizes.Record("long", 500);
  }
  CHECK(average < 600);
}
