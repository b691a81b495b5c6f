// Tests of the placement decisions of many instances that share engines and
// learn of each other's requests only from reports, on a virtual clock.
#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/placer.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kSlots = 16;
constexpr Duration kStep = milliseconds(25);

// Spreads the reports of instances over their interval.
double PhaseOf(std::size_t from, std::size_t to) {
  constexpr std::size_t kPhases = 16;
  return static_cast<double>((7 * from + 3 * to) % kPhases) / kPhases;
}

class EngineDecoder : public ServerDecoder {
 public:
  [[nodiscard]] tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const override {
    return RegisteredServer{.id = document.key,
                            .incarnation = 1,
                            .service = "model",
                            .address = "a-" + document.key,
                            .data_centre = "here",
                            .slots = kSlots};
  }
};

const RoutedService kModel{
    .name = "model", .batch_slots = kSlots, .kv_capacity_tokens = 1000000};

// A kind of request, and how many of them arrive at the whole fleet.
struct Traffic {
  Route route;
  bool tolerates_pauses = false;
  int prompt_tokens = 0;
  int output_tokens = 0;
  // How long an engine takes for a request.
  Duration duration{};
  double rate = 0;

  int sent = 0;
  int refused = 0;
};

struct FleetOptions {
  int instances = 60;
  int engines = 60;
  Duration report_interval = milliseconds(500);
};

// Runs instances that place requests on engines. An engine takes any number of
// requests and runs kSlots of them at a time, in the order of their arrival.
class PlacementFleet {
 public:
  PlacementFleet(const FleetOptions& options, std::vector<Traffic> traffic)
      : options(options), kinds(std::move(traffic)), random(20261204) {
    std::vector<SharedDocument> documents;
    for (int i = 0; i < options.engines; ++i) {
      documents.push_back({.key = "e" + std::to_string(i),
                           .revision = static_cast<std::uint64_t>(i + 1),
                           .value = "engine"});
    }
    this->directory.Replace(documents, 100, this->now, this->now);
    for (int i = 0; i < options.instances; ++i) {
      this->placers.push_back(std::make_unique<Placer>(
          PlacerOptions{.data_centre = "here",
                        .instance = "i" + std::to_string(i)},
          this->directory));
      this->placers.back()->SetFleet(options.instances,
                                     options.report_interval);
    }
    for (int i = 0; i < options.engines; ++i) {
      this->engines.emplace_back();
    }
  }

  // Loads are counted and requests recorded only after the warm-up.
  void Run(Duration warm_up, Duration duration) {
    const TimePoint counted_from = this->now + warm_up;
    const TimePoint end = counted_from + duration;
    for (; this->now < end; this->now += kStep) {
      this->Report();
      this->EndRequests();
      for (std::size_t kind = 0; kind < this->kinds.size(); ++kind) {
        this->Arrive(kind, this->now >= counted_from);
      }
      if (this->now >= counted_from) {
        for (const Engine& engine : this->engines) {
          this->loads.push_back(static_cast<int>(engine.requests.size()));
        }
      }
    }
  }

  // Changes how many requests of a kind arrive.
  void SetRate(std::size_t index, double rate) {
    this->kinds[index].rate = rate;
  }
  [[nodiscard]] const Traffic& kind(std::size_t index) const {
    return this->kinds[index];
  }
  // The load that this share of the samples of all engines does not exceed.
  [[nodiscard]] int LoadAtQuantile(double share) {
    std::sort(this->loads.begin(), this->loads.end());
    return this->loads[static_cast<std::size_t>(
        share * static_cast<double>(this->loads.size() - 1))];
  }

 private:
  struct Request {
    std::size_t instance = 0;
    ServerChoice choice;
    PlacementQuery query;
    Duration remaining{};
    TimePoint sent_at;
    bool has_first_event = false;
  };
  struct Engine {
    std::vector<Request> requests;
  };

  void Report() {
    const auto round = [this](std::size_t from, std::size_t to, TimePoint at) {
      const double phase = PhaseOf(from, to);
      const Duration shift =
          FromSeconds(phase * ToSeconds(this->options.report_interval));
      return (at.time_since_epoch() + shift) / this->options.report_interval;
    };
    for (std::size_t from = 0; from < this->placers.size(); ++from) {
      for (std::size_t to = 0; to < this->placers.size(); ++to) {
        if (from == to ||
            round(from, to, this->now) == round(from, to, this->now - kStep)) {
          continue;
        }
        Placer& receiver = *this->placers[to];
        const std::string name = "i" + std::to_string(from);
        receiver.ledger().SetPeerLoads(
            name, this->placers[from]->ledger().OwnLoads(), this->now);
        const auto partitions = this->placers[from]->Partitions(this->now);
        receiver.SetPeerWork(name, partitions, this->now);
        if (from == 0) {
          receiver.FollowPartitions(partitions);
        }
      }
    }
  }
  void EndRequests() {
    for (Engine& engine : this->engines) {
      const std::size_t running =
          std::min<std::size_t>(kSlots, engine.requests.size());
      for (std::size_t i = 0; i < running; ++i) {
        Request& request = engine.requests[i];
        request.remaining -= kStep;
        if (!request.has_first_event) {
          request.has_first_event = true;
          this->placers[request.instance]->RecordFirstEvent(
              request.query, request.choice, this->now - request.sent_at,
              this->now);
        }
      }
      std::erase_if(engine.requests, [this](const Request& request) {
        if (request.remaining > Duration{}) {
          return false;
        }
        this->placers[request.instance]->RecordEnd(request.choice,
                                                   this->now - request.sent_at);
        return true;
      });
    }
  }
  void Arrive(std::size_t kind, bool is_counted) {
    Traffic& traffic = this->kinds[kind];
    const int count = std::poisson_distribution<int>(
        traffic.rate * ToSeconds(kStep))(this->random);
    for (int i = 0; i < count; ++i) {
      const std::size_t instance = std::uniform_int_distribution<std::size_t>(
          0, this->placers.size() - 1)(this->random);
      Placer& placer = *this->placers[instance];
      PlacementQuery query{.route = &traffic.route,
                           .service = &kModel,
                           .tier = 1,
                           .prompt_tokens = traffic.prompt_tokens,
                           .expected_output_tokens = traffic.output_tokens,
                           .tolerates_pauses = traffic.tolerates_pauses,
                           .shortest_target = milliseconds(250)};
      placer.RecordRequest(query, this->now);
      NoChoiceReason why_not{};
      const auto choice = placer.Choose(query, this->now, why_not);
      if (is_counted) {
        ++(choice ? traffic.sent : traffic.refused);
      }
      if (!choice) {
        continue;
      }
      placer.RecordSend(query, *choice, this->now);
      this->engines[std::stoul(choice->server.id.substr(1))].requests.push_back(
          {.instance = instance,
           .choice = *choice,
           .query = query,
           .remaining = traffic.duration,
           .sent_at = this->now});
    }
  }

  FleetOptions options;
  std::vector<Traffic> kinds;
  std::mt19937 random;
  TimePoint now = TimePoint{} + std::chrono::hours(1);
  EngineDecoder decoder;
  BackendDirectory directory{decoder};
  std::vector<std::unique_ptr<Placer>> placers;
  std::vector<Engine> engines;
  std::vector<int> loads;
};

Traffic ShortRequests(double rate) {
  return {.route = {.name = "short",
                    .kind = RouteKind::kStream,
                    .target = milliseconds(250),
                    .gap_target = milliseconds(200),
                    .tier = 0},
          .prompt_tokens = 600,
          .output_tokens = 50,
          .duration = milliseconds(400),
          .rate = rate};
}

Traffic LongRequests(double rate) {
  return {.route = {.name = "long",
                    .kind = RouteKind::kStream,
                    .target = milliseconds(1500),
                    .gap_target = milliseconds(800),
                    .tier = 2},
          .tolerates_pauses = true,
          .prompt_tokens = 6000,
          .output_tokens = 300,
          .duration = milliseconds(3000),
          .rate = rate};
}

}  // namespace

TEST_GROUP(PlacementFleet){};

// Guards against urgent requests that are refused while engines stay reserved
// for long, less urgent ones: in a burst of short ones the engines suffice for
// these and for a part of the long ones.
TEST(PlacementFleet, BurstOfUrgentRequestsIsServedBeforeLongOnes) {
  // The part of a route's requests that may get nothing while less urgent ones
  // begin.
  constexpr double kMaxRefused = 1.0 / 12;
  constexpr double kUsualShort = 400;
  // With the usual long requests, the burst needs 1.1 times all slots.
  PlacementFleet fleet({}, {ShortRequests(kUsualShort), LongRequests(160)});
  fleet.Run(seconds(7), milliseconds(100));
  const int sent = fleet.kind(0).sent;
  const int refused = fleet.kind(0).refused;
  fleet.SetRate(0, 3.5 * kUsualShort);
  fleet.Run(Duration{}, seconds(5));
  const double burst_sent = fleet.kind(0).sent - sent;
  const double burst_refused = fleet.kind(0).refused - refused;
  CHECK(fleet.kind(1).sent > 0);
  CHECK(burst_refused <= kMaxRefused * (burst_sent + burst_refused));
}

// Guards against all instances sending to the same few engines that looked free
// in the last reports, in an overload of a large fleet.
TEST(PlacementFleet, OverloadIsSpreadOverAllEngines) {
  // A quarter of the slots may queue at an engine for a moment.
  constexpr int kMaxLoad = kSlots + kSlots / 4;
  for (const double short_rate : {400.0, 900.0}) {
    PlacementFleet fleet({}, {ShortRequests(short_rate), LongRequests(500)});
    fleet.Run(seconds(5), seconds(10));
    CHECK(fleet.LoadAtQuantile(0.99) <= kMaxLoad);
    CHECK(fleet.LoadAtQuantile(0.5) >= kSlots / 2);
  }
}
