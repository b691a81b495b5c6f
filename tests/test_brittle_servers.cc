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
constexpr Duration kEnd = seconds(11);
// Falls count once instances had this long to learn that servers are brittle.
constexpr Duration kTimeToLearn = seconds(3);
constexpr int kMaxAttempts = 3;
constexpr int kTiers = 3;

class SlotDecoder : public ServerDecoder {
 public:
  explicit SlotDecoder(int slots) : slots(slots) {}

  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    return RegisteredServer{.id = document.key,
                            .incarnation = 1,
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
  // Subjects of the prompts; few make for affinity servers in demand.
  int subjects = 40;
  std::uint32_t seed = 1;
};

struct FleetResult {
  int asked = 0;
  int served = 0;
  int falls = 0;
  // Requests that got neither a response nor a refusal.
  int unended = 0;

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
    for (int i = 0; i < options.servers; ++i) {
      documents.push_back({.key = "s" + std::to_string(i),
                           .revision = static_cast<std::uint64_t>(i + 1),
                           .value = "server"});
    }
    this->servers.resize(documents.size());
    this->directory.Replace(documents, 1000, this->now, this->now);
    for (int i = 0; i < options.instances; ++i) {
      Instance& instance = this->instances.emplace_back();
      instance.name = "i" + std::to_string(i);
      instance.placer = std::make_unique<Placer>(
          PlacerOptions{.data_centre = "here", .instance = instance.name},
          this->directory);
      instance.placer->SetFleet(options.instances, options.report_interval);
    }
  }

  FleetResult Run() {
    const TimePoint end = this->start + kEnd;
    for (; this->now < end + kMaxWait + 4 * kServiceTime; this->now += kStep) {
      this->Report();
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

  [[nodiscard]] Duration Elapsed() const { return this->now - this->start; }
  [[nodiscard]] bool IsBrittle() const {
    return this->options.become_brittle && this->Elapsed() >= kBrittleFrom;
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
      const std::size_t index = this->Draw(this->instances.size());
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
    bool was_refused = false;
    for (auto& queue : instance.waiting) {
      while (!queue.empty()) {
        if (this->now - queue.front().arrived_at > kMaxWait) {
          ++this->ended;
        } else if (was_refused || !this->Place(queue.front())) {
          was_refused = true;
          break;
        }
        queue.pop_front();
      }
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
    const int room = this->options.slots +
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
  void Say(const Request& /*request*/) {}

  void CountRejection(Server& server) {
    server.rejections.push_back(this->now);
    while (this->now - server.rejections.front() > seconds(1)) {
      server.rejections.pop_front();
    }
    if (!this->IsBrittle() ||
        static_cast<int>(server.rejections.size()) <= this->options.tolerated) {
      return;
    }
    if (this->Elapsed() >= kBrittleFrom + kTimeToLearn) {
      ++this->result.falls;
    }
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
      const auto running =
          std::min<std::size_t>(static_cast<std::size_t>(this->options.slots),
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

  // Spreads the reports of instances over their interval.
  void Report() {
    const auto count = static_cast<int>(this->instances.size());
    for (int from = 0; from < count; ++from) {
      const Duration shift = this->options.report_interval * from / count;
      const auto round = [&](TimePoint at) {
        return (at.time_since_epoch() + shift) / this->options.report_interval;
      };
      if (round(this->now) == round(this->now - kStep)) {
        continue;
      }
      Instance& sender = this->instances[static_cast<std::size_t>(from)];
      const auto loads = sender.placer->ledger().OwnLoads();
      const auto partitions = sender.placer->Partitions(this->now);
      for (Instance& receiver : this->instances) {
        if (&receiver == &sender) {
          continue;
        }
        receiver.placer->ledger().SetPeerLoads(sender.name, loads, this->now);
        receiver.placer->SetPeerWork(sender.name, partitions, this->now);
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
  for (const int tolerated : {3, 12}) {
    CheckFleet({.instances = 62,
                .servers = 112,
                .report_interval = milliseconds(488),
                .tolerated = tolerated,
                .subjects = 400});
  }
}
