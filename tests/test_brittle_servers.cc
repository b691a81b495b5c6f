// Tests of brittle servers, which fall over if they have to reject many
// requests within a second, and say so in their responses: a fleet of instances
// on a virtual clock.
#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/backend_directory.h"
#include "core/placer.h"
#include "core/server_rate_limits.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kServiceTime = milliseconds(600);
constexpr Duration kQueueInterval = milliseconds(50);
constexpr Duration kMaxWait = milliseconds(800);
constexpr Duration kDownTime = seconds(3);
constexpr Duration kBrittleFrom = seconds(2);
// From this time after the servers say that they are brittle, they are.
constexpr Duration kTimeToLearn = seconds(3);
// After this time without a report, an instance counts as silent.
constexpr Duration kSilence = milliseconds(650);
constexpr int kMaxAttempts = 3;
constexpr int kTiers = 3;

class SlotDecoder : public ServerDecoder {
 public:
  explicit SlotDecoder(int slots) : slots(slots) {}

  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    return RegisteredServer{.id = document.key,
                            .incarnation = std::stoull(document.value),
                            .service = "model",
                            .address = "a-" + document.key,
                            .data_centre = "here",
                            .slots = this->slots};
  }

 private:
  int slots;
};

const RoutedService kModel{
    .name = "model", .batch_slots = 12, .kv_capacity_tokens = 1000000};

const Route kRoute{.name = "short",
                   .kind = RouteKind::kStream,
                   .target = milliseconds(1500),
                   .gap_target = milliseconds(600),
                   .tier = 1};

struct FleetOptions {
  int instances = 9;
  int servers = 9;
  int slots = 12;
  Duration report_interval = milliseconds(100);
  // Rejections within a second that fell no brittle server.
  int tolerated = 3;
  // The requests that wait at a server, and at one that is brittle.
  int waiting_room = 6;
  int brittle_waiting_room = 0;
  bool become_brittle = true;
  Duration duration = seconds(11);
  // Subjects of the prompts; few make for affinity servers in demand.
  int subjects = 40;
  // Slots of each server that callers take whom no instance knows.
  int slots_taken = 0;
  // A server that fell comes back as another process.
  bool restarts = false;
  // From this time on, no instance hears of the others.
  Duration cut_from = Duration::max();
  // Callers know only the first ones.
  int busy_instances = instances;
  std::uint32_t seed = 1;
};

struct FleetResult {
  int asked = 0;
  int served = 0;
  int falls = 0;
  // Requests that got neither a response nor a refusal.
  int unended = 0;
  // A request got a server at a moment at which a more urgent one was refused.
  int overtaken = 0;

  [[nodiscard]] double ServedShare() const {
    return static_cast<double>(this->served) / std::max(1, this->asked);
  }
};

// Callers' bursts ask for twice what the servers can do.
class BrittleFleet {
 public:
  explicit BrittleFleet(const FleetOptions& options)
      : options(options), random(options.seed), decoder(options.slots) {
    std::vector<SharedDocument> documents;
    documents.reserve(static_cast<std::size_t>(options.servers));
    for (int i = 0; i < options.servers; ++i) {
      documents.push_back({.key = "s" + std::to_string(i),
                           .revision = ++this->revision,
                           .value = "1"});
    }
    this->servers.resize(documents.size());
    this->directory.Replace(documents, this->revision, this->now, this->now);
    for (int i = 0; i < options.instances; ++i) {
      Instance& instance = this->instances.emplace_back();
      instance.name = "i" + std::to_string(i);
      instance.placer = std::make_unique<Placer>(
          PlacerOptions{.data_centre = "here", .instance = instance.name},
          this->directory);
      instance.placer->SetFleet(options.instances, options.report_interval);
    }
    this->SetFleet(true);
  }

  FleetResult Run() {
    const TimePoint end = this->start + this->options.duration;
    for (; this->now < end + kMaxWait + 4 * kServiceTime; this->now += kStep) {
      this->Report();
      this->Restart();
      this->EndRequests();
      if (this->now < end) {
        this->Arrive();
      }
      for (Instance& instance : this->instances) {
        this->PlaceWaiting(instance);
      }
    }
    this->result.unended = this->result.asked - this->ended;
    return this->result;
  }

 private:
  struct Request {
    PlacementQuery query;
    TimePoint arrived_at;
    int attempts = 0;
    std::size_t instance = 0;
    ServerChoice choice;
    TimePoint sent_at;
    TimePoint ends_at;
  };
  struct Server {
    // The first ones run, the others wait.
    std::deque<Request> requests;
    std::deque<TimePoint> rejections;
    TimePoint down_until;
  };
  struct Instance {
    std::string name;
    std::unique_ptr<Placer> placer;
    std::array<std::deque<Request>, kTiers> waiting;
    TimePoint tried_at;
  };

  void SetFleet(bool hears_all) {
    for (Instance& instance : this->instances) {
      std::vector<std::string> peers;
      for (const Instance& peer : this->instances) {
        if (&peer != &instance) {
          peers.push_back(peer.name);
        }
      }
      instance.placer->brittle_servers().SetFleet(
          peers, hears_all, this->options.report_interval);
    }
  }

  [[nodiscard]] Duration Elapsed() const { return this->now - this->start; }
  [[nodiscard]] bool SaysBrittle() const {
    return this->options.become_brittle && this->Elapsed() >= kBrittleFrom;
  }
  [[nodiscard]] bool IsBrittle() const {
    return this->SaysBrittle() &&
           this->Elapsed() >= kBrittleFrom + kTimeToLearn;
  }

  // Half of what the servers can do and, in bursts, twice as much.
  [[nodiscard]] double Rate() const {
    constexpr Duration kBurstInterval = milliseconds(2500);
    constexpr Duration kBurstTime = milliseconds(1200);
    const double capacity =
        this->options.servers * this->options.slots / ToSeconds(kServiceTime);
    return capacity *
           (this->Elapsed() % kBurstInterval < kBurstTime ? 2.0 : 0.5);
  }

  void Arrive() {
    const int count = std::poisson_distribution<int>(
        this->Rate() * ToSeconds(kStep))(this->random);
    for (int i = 0; i < count; ++i) {
      const std::size_t index =
          this->Draw(static_cast<std::size_t>(this->options.busy_instances));
      const std::uint64_t subject =
          1 + this->Draw(static_cast<std::size_t>(this->options.subjects));
      Request request{
          .query = {.route = &kRoute,
                    .service = &kModel,
                    .tier = static_cast<int>(this->Draw(kTiers)),
                    .parts = {{.id = subject, .tokens = 400},
                              {.id = ++this->last_id, .tokens = 200}},
                    .prompt_tokens = 600,
                    .expected_output_tokens = 50,
                    .shortest_target = kRoute.target},
          .arrived_at = this->now,
          .instance = index};
      ++this->result.asked;
      Instance& instance = this->instances[index];
      instance.placer->RecordRequest(request.query, this->now);
      // A waiting request of the same tier, or a more urgent one, comes first.
      bool is_first = true;
      for (int tier = 0; tier <= request.query.tier; ++tier) {
        is_first = is_first &&
                   instance.waiting[static_cast<std::size_t>(tier)].empty();
      }
      if (!is_first || !this->Place(request)) {
        this->Wait(std::move(request));
      }
    }
  }

  void Wait(Request request) {
    auto& queue = this->instances[request.instance]
                      .waiting[static_cast<std::size_t>(request.query.tier)];
    queue.push_back(std::move(request));
  }

  void PlaceWaiting(Instance& instance) {
    if (this->now - instance.tried_at < kQueueInterval) {
      return;
    }
    instance.tried_at = this->now;
    instance.placer->brittle_servers().Tick(this->directory.servers(),
                                            this->now);
    bool was_refused = false;
    for (auto& queue : instance.waiting) {
      while (!queue.empty()) {
        if (this->now - queue.front().arrived_at > kMaxWait) {
          ++this->ended;
        } else if (was_refused || !this->Place(queue.front())) {
          if (!was_refused) {
            this->CountOvertaken(queue.front().query, *instance.placer);
          }
          was_refused = true;
          break;
        }
        queue.pop_front();
      }
    }
  }

  // `refused` was refused at this moment.
  void CountOvertaken(PlacementQuery refused, Placer& placer) {
    NoChoiceReason why_not{};
    ++refused.tier;
    if (placer.Choose(refused, this->now, why_not)) {
      ++this->result.overtaken;
    }
  }

  // Returns whether the request was sent; it may have failed since.
  bool Place(Request& request) {
    Instance& instance = this->instances[request.instance];
    NoChoiceReason why_not{};
    const auto choice =
        instance.placer->Choose(request.query, this->now, why_not);
    if (!choice) {
      return false;
    }
    instance.placer->RecordSend(request.query, *choice, this->now);
    request.choice = *choice;
    request.sent_at = this->now;
    request.ends_at = {};
    ++request.attempts;
    Server& server = this->servers[std::stoul(choice->server.id.substr(1))];
    const int room = this->options.slots - this->options.slots_taken +
                     (this->IsBrittle() ? this->options.brittle_waiting_room
                                        : this->options.waiting_room);
    if (this->now < server.down_until) {
      this->Fail(request, SendResult::kUnreachable);
    } else if (static_cast<int>(server.requests.size()) >= room) {
      this->Say(request);
      this->Fail(request, SendResult::kFull);
      this->CountRejection(server);
    } else {
      server.requests.push_back(request);
    }
    return true;
  }

  // Records what the response to the request says of the server.
  void Say(const Request& request) {
    this->instances[request.instance].placer->ObserveBrittleness(
        request.choice.server,
        this->SaysBrittle() ? std::optional(this->options.tolerated)
                            : std::nullopt,
        request.sent_at, this->now);
  }

  void CountRejection(Server& server) {
    server.rejections.push_back(this->now);
    while (this->now - server.rejections.front() > seconds(1)) {
      server.rejections.pop_front();
    }
    if (!this->IsBrittle() ||
        static_cast<int>(server.rejections.size()) <= this->options.tolerated) {
      return;
    }
    ++this->result.falls;
    server.down_until = this->now + kDownTime;
    server.rejections.clear();
    for (Request& request : std::exchange(server.requests, {})) {
      this->Fail(request, SendResult::kUnreachable);
    }
  }

  void Fail(Request request, SendResult why) {
    Placer& placer = *this->instances[request.instance].placer;
    placer.RecordEnd(request.choice, this->now - request.sent_at);
    placer.RecordResult(request.choice, why, this->now);
    request.query.tried_servers.push_back(request.choice.server.id);
    if (request.attempts < kMaxAttempts) {
      this->Wait(std::move(request));
    } else {
      ++this->ended;
    }
  }

  void EndRequests() {
    for (Server& server : this->servers) {
      const auto running = std::min<std::size_t>(
          static_cast<std::size_t>(this->options.slots -
                                   this->options.slots_taken),
          server.requests.size());
      std::deque<Request> rest;
      for (std::size_t i = 0; i < server.requests.size(); ++i) {
        Request& request = server.requests[i];
        Placer& placer = *this->instances[request.instance].placer;
        if (i < running && request.ends_at == TimePoint{}) {
          request.ends_at = this->now + kServiceTime;
          this->Say(request);
          placer.RecordFirstEvent(request.query, request.choice,
                                  this->now - request.sent_at, this->now);
          placer.RecordResult(request.choice, SendResult::kAnswered, this->now);
        }
        if (i < running && this->now >= request.ends_at) {
          placer.RecordEnd(request.choice, this->now - request.sent_at);
          ++this->result.served;
          ++this->ended;
        } else {
          rest.push_back(std::move(request));
        }
      }
      server.requests = std::move(rest);
    }
  }

  // Registers the servers that come back now as new processes.
  void Restart() {
    if (!this->options.restarts) {
      return;
    }
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      if (this->now == this->servers[i].down_until) {
        const std::string id = "s" + std::to_string(i);
        ++this->revision;
        this->directory.Apply({{.key = id,
                                .revision = this->revision,
                                .value = std::to_string(this->revision)}},
                              this->revision, this->now, this->now);
        for (Instance& instance : this->instances) {
          instance.placer->Forget(id);
        }
      }
    }
  }

  // Spreads the reports of instances over their interval.
  void Report() {
    if (this->Elapsed() >= this->options.cut_from) {
      if (this->Elapsed() == this->options.cut_from + kSilence) {
        this->SetFleet(false);
      }
      return;
    }
    const auto count = static_cast<int>(this->instances.size());
    for (int from = 0; from < count; ++from) {
      const Duration shift = this->options.report_interval * from / count;
      const auto round = [&](TimePoint at) {
        return (at.time_since_epoch() + shift) / this->options.report_interval;
      };
      Instance& sender = this->instances[static_cast<std::size_t>(from)];
      if (round(this->now) == round(this->now - kStep) &&
          !sender.placer->brittle_servers().HasUrgentReport()) {
        continue;
      }
      const auto loads = sender.placer->ledger().OwnLoads();
      const auto partitions = sender.placer->Partitions(this->now);
      const auto brittle =
          sender.placer->brittle_servers().Reports(false, this->now);
      sender.placer->brittle_servers().RecordReportSent();
      for (Instance& receiver : this->instances) {
        if (&receiver == &sender) {
          continue;
        }
        receiver.placer->ledger().SetPeerLoads(sender.name, loads, this->now);
        receiver.placer->SetPeerWork(sender.name, partitions, this->now);
        receiver.placer->brittle_servers().Merge(sender.name, brittle,
                                                 this->now);
        if (from == 0) {
          receiver.placer->FollowPartitions(partitions);
        }
      }
    }
  }

  std::size_t Draw(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }

  FleetOptions options;
  std::mt19937 random;
  TimePoint start = TimePoint{} + std::chrono::hours(1);
  TimePoint now = start;
  SlotDecoder decoder;
  BackendDirectory directory{decoder};
  std::vector<Instance> instances;
  std::vector<Server> servers;
  std::uint64_t revision = 0;
  std::uint64_t last_id = std::uint64_t{1} << 40U;
  int ended = 0;
  FleetResult result;
};

// The users' rule: in one time of brittleness, at most two falls and a tenth of
// the servers more.
int MaxFalls(const FleetOptions& options) { return 2 + options.servers / 10; }

void CheckFleet(const FleetOptions& options) {
  const FleetResult result = BrittleFleet(options).Run();
  CHECK_EQUAL(0, result.unended);
  CHECK_EQUAL(0, result.overtaken);
  CHECK(result.falls <= MaxFalls(options));
  // Care costs less than a quarter of what sturdy servers serve.
  FleetOptions sturdy = options;
  sturdy.become_brittle = false;
  CHECK(result.served >= 0.75 * BrittleFleet(sturdy).Run().served);
}

}  // namespace

TEST_GROUP(BrittleServers){};

// Guards against bursts that fell brittle servers one after another, since
// each of nine instances sends what the others have left no room for.
TEST(BrittleServers, BurstsFellFewServersOfASmallFleet) {
  for (const int tolerated : {3, 8, 20}) {
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
      CheckFleet({.tolerated = tolerated, .seed = seed});
    }
  }
}

// Guards against the same where 62 instances each believe in a free slot.
TEST(BrittleServers, BurstsFellFewServersOfALargeFleet) {
  CheckFleet({.instances = 62,
              .servers = 112,
              .report_interval = milliseconds(488),
              .duration = milliseconds(7500),
              .subjects = 400});
}

// Guards against a fall of servers that come back as new processes, which have
// not said yet that they are brittle, or have less room than instances know of.
TEST(BrittleServers, ServersThatReturnOrHaveLessRoomAreNotOverrun) {
  for (const int tolerated : {3, 8, 20}) {
    const FleetOptions options{
        .tolerated = tolerated, .slots_taken = 2, .restarts = true};
    const FleetResult result = BrittleFleet(options).Run();
    CHECK_EQUAL(0, result.unended);
    CHECK_EQUAL(0, result.overtaken);
    CHECK(result.falls <= MaxFalls(options));
  }
}

// Guards against parts that hold only while instances hear of each other.
TEST(BrittleServers, InstancesThatCannotHearEachOtherFellFewServers) {
  for (const int tolerated : {3, 12}) {
    const FleetOptions options{.tolerated = tolerated,
                               .cut_from = milliseconds(4500)};
    const FleetResult result = BrittleFleet(options).Run();
    CHECK_EQUAL(0, result.unended);
    CHECK(result.falls <= MaxFalls(options));
  }
}

// Guards against slots that stay unused since callers know only some of the
// instances.
TEST(BrittleServers, IdleInstancesLendTheirSlots) {
  const FleetOptions options{.tolerated = 12, .busy_instances = 5};
  const FleetResult result = BrittleFleet(options).Run();
  CHECK(result.falls <= MaxFalls(options));
  // More than the busy instances' own slots would serve.
  FleetOptions own_slots = options;
  own_slots.tolerated = 0;
  CHECK(result.served > 1.05 * BrittleFleet(own_slots).Run().served);
}

TEST_GROUP(Brittleness) {
  static constexpr int kSlots = 12;
  const TimePoint start = TimePoint{} + std::chrono::hours(1);
  const RegisteredServer first{
      .id = "s1", .incarnation = 1, .service = "model", .slots = kSlots};
  const RegisteredServer second{
      .id = "s2", .incarnation = 1, .service = "model", .slots = kSlots};
  const RegisteredServer other{
      .id = "o", .incarnation = 1, .service = "other", .slots = kSlots};
  const std::map<std::string, RegisteredServer> registered{
      {"s1", first}, {"s2", second}, {"o", other}};
  LoadLedger ledger;
  BrittleServers servers{"a"};

  void AddRunning(const RegisteredServer& server, int count) {
    for (int i = 0; i < count; ++i) {
      this->ledger.Add(server.id, {.running = 1});
    }
  }
};

// Guards against parts of the slots whose sum is not the number of slots.
TEST(Brittleness, PartsOfAllInstancesAreTheSlots) {
  for (const int count : {1, 2, 5, 9, 12, 13, 62}) {
    int sum = 0;
    for (int own = 0; own < count; ++own) {
      BrittleServers instance("i" + std::to_string(own));
      std::vector<std::string> peers;
      for (int i = 0; i < count; ++i) {
        if (i != own) {
          peers.push_back("i" + std::to_string(i));
        }
      }
      instance.SetFleet(peers, true, milliseconds(100));
      // Nothing can be borrowed.
      instance.Observe(first, 0, start, start);
      LoadLedger own_ledger;
      while (instance.HasRoom(first, own_ledger.OwnLoad("s1").running,
                              own_ledger, start)) {
        own_ledger.Add("s1", {.running = 1});
        ++sum;
      }
    }
    CHECK_EQUAL(kSlots, sum);
  }
}

TEST(Brittleness, NothingIsKnownOfServersThatDoNotSaySo) {
  servers.Observe(first, std::nullopt, start, start);
  servers.Merge("b", {}, start);
  servers.Tick(registered, start);
  CHECK(servers.empty());
  CHECK(!servers.HasUrgentReport());
  CHECK(servers.HasRoom(first, 10 * kSlots, ledger, start));
}

TEST(Brittleness, LaterResponseDecides) {
  servers.Observe(first, 3, start, start);
  servers.Observe(first, std::nullopt, start - seconds(1), start);
  CHECK(servers.IsBrittle(first));
  servers.Observe(first, std::nullopt, start + seconds(1), start + seconds(1));
  CHECK(!servers.IsBrittle(first));
  CHECK_EQUAL(2U, servers.TakeChanges().size());
}

// Guards against a fall of servers of the service that have not answered yet.
TEST(Brittleness, HoldsForServersThatHaveNotAnsweredYet) {
  servers.Observe(first, 3, start, start);
  servers.Tick(registered, start);
  CHECK(servers.IsBrittle(second));
  CHECK(!servers.IsBrittle(other));
  servers.Observe(second, std::nullopt, start, start);
  servers.Tick(registered, start);
  CHECK(servers.IsBrittle(first));
  CHECK(!servers.IsBrittle(second));
}

TEST(Brittleness, EndsWithTheLifetimeOfAllServersThatSaidSo) {
  servers.Observe(first, 3, start, start);
  servers.Tick(registered, start);
  auto replaced = registered;
  replaced["s1"].incarnation = 2;
  servers.Tick(replaced, start + seconds(1));
  CHECK(!servers.IsBrittle(replaced["s1"]));
  CHECK(!servers.IsBrittle(second));
}

// Guards against reports that grow with the fleet: each change is told once.
TEST(Brittleness, ChangesAreToldOnceAndToNewPeers) {
  servers.Observe(first, 3, start, start);
  CHECK(servers.HasUrgentReport());
  const auto reports = servers.Reports(false, start + seconds(1));
  CHECK_EQUAL(1U, reports.size());
  servers.RecordReportSent();
  servers.Observe(first, 3, start + seconds(1), start + seconds(1));
  CHECK(!servers.HasUrgentReport());
  CHECK(servers.Reports(false, start + seconds(1)).empty());
  CHECK_EQUAL(1U, servers.Reports(true, start + seconds(1)).size());

  BrittleServers peer("b");
  peer.Merge("a", reports, start + seconds(1));
  CHECK(peer.IsBrittle(first));
  CHECK(!peer.HasUrgentReport());
  peer.Observe(first, std::nullopt, start + seconds(2), start + seconds(2));
  CHECK(peer.HasUrgentReport());
  servers.Merge("b", peer.Reports(false, start + seconds(2)),
                start + seconds(2));
  CHECK(!servers.IsBrittle(first));
}

TEST(Brittleness, RejectionIsFollowedByRetreat) {
  servers.Observe(first, 3, start, start);
  CHECK(servers.HasRoom(first, 0, ledger, start));
  servers.RecordRejection(first, 0, start);
  CHECK(!servers.HasRoom(first, 0, ledger, start + milliseconds(990)));
  CHECK(servers.HasRoom(first, 0, ledger, start + milliseconds(1510)));
  // Twice as long after the next one, until an answer.
  servers.RecordRejection(first, 0, start + seconds(2));
  CHECK(!servers.HasRoom(first, 0, ledger, start + milliseconds(3990)));
  servers.RecordAnswer(first);
  servers.RecordRejection(first, 0, start + seconds(6));
  CHECK(servers.HasRoom(first, 0, ledger, start + milliseconds(7510)));
}

// Guards against a server that lets fewer requests wait, or runs fewer, than
// before being filled again at once.
TEST(Brittleness, RejectionAtALoadLowersTheRoom) {
  servers.Observe(first, 3, start, start);
  CHECK(servers.HasRoom(first, kSlots - 1, ledger, start));
  CHECK(!servers.HasRoom(first, kSlots, ledger, start));
  servers.RecordRejection(first, 10, start);
  const TimePoint later = start + milliseconds(1510);
  CHECK(!servers.HasRoom(first, kSlots - 1, ledger, later));
  CHECK(servers.HasRoom(first, 9, ledger, later));
  CHECK(servers.HasRoom(first, kSlots - 1, ledger,
                        start + std::chrono::minutes(1)));
}

TEST(Brittleness, NothingIsBorrowedWhileAServerRejects) {
  servers.SetFleet({"b"}, true, milliseconds(100));
  servers.Observe(first, 20, start, start);
  AddRunning(first, kSlots / 2);
  const auto may_borrow = [&](TimePoint from) {
    for (int i = 0; i < 20; ++i) {
      if (servers.HasRoom(first, kSlots / 2, ledger,
                          from + milliseconds(100 * i))) {
        return true;
      }
    }
    return false;
  };
  CHECK(may_borrow(start));
  const TimePoint later = start + seconds(3);
  for (int i = 0; i <= 20; ++i) {
    const TimePoint at = later + milliseconds(100 * i);
    servers.Merge("b",
                  {{.server_hash = LifetimeHash("s1", 1),
                    .tolerated = 20,
                    .rejected = 1,
                    .room = kSlots}},
                  at);
    CHECK(!servers.HasRoom(first, kSlots / 2, ledger, at));
  }
  servers.Merge("b", {}, later + seconds(2));
  CHECK(may_borrow(later + seconds(2)));
}

// Guards against a server that comes back being overrun as the last resort,
// while all instances still believe that it is gone.
TEST(Brittleness, EjectedServerGetsNoMoreThanItHasRoomFor) {
  const SlotDecoder decoder(kSlots);
  BackendDirectory directory(decoder);
  directory.Replace({{.key = "s1", .revision = 1, .value = "1"}}, 1, start,
                    start);
  Placer placer({.data_centre = "here", .instance = "a"}, directory);
  const RegisteredServer& server = directory.servers().at("s1");
  placer.ObserveBrittleness(server, 3, start, start);
  const PlacementQuery query{.route = &kRoute, .service = &kModel};
  int sent = 0;
  NoChoiceReason why_not{};
  while (const auto choice = placer.Choose(query, start, why_not)) {
    if (sent == 0) {
      placer.RecordResult(*choice, SendResult::kUnreachable, start);
      placer.RecordResult(*choice, SendResult::kUnreachable, start);
    }
    placer.RecordSend(query, *choice, start);
    ++sent;
    CHECK(sent <= kSlots);
  }
  CHECK(sent > 0);
}
