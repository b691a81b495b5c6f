// Many instances that place requests on engines with prompt caches and learn of
// each other's requests only from reports, on a virtual clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "bench/virtual_engine.h"
#include "core/backend_directory.h"
#include "core/placer.h"

namespace rosemarycove {

// A kind of request that callers send to the fleet.
struct RequestKind {
  Route route;
  // Whether its prompts belong to the engines that are reserved for long ones.
  bool tolerates_pauses = false;
  // All prompts begin with the same part, then comes the part of a subject, and
  // then tokens of the request's own.
  int common_tokens = 0;
  int subject_tokens = 0;
  int own_tokens = 0;
  int subjects = 1;
  int output_tokens = 0;
  // Requests per second of all callers at a time since the start.
  std::function<double(Duration)> rate;
  // The weight of the subject of rank n, from 1, is n to the power of minus
  // this.
  double subject_skew = 0;
  // The share of a data centre's callers in the requests, at a time since the
  // start; the shares need not add up to 1. Empty if all instances get the same
  // number of requests.
  std::function<double(Duration, int)> centre_share = {};
};

// What happened to the requests of a kind.
struct RequestCounts {
  int asked = 0;
  // Ended with a refusal, after all tries of the caller.
  int refused = 0;
  // The first token came within the target, and no gap was over the route's.
  int on_time = 0;
  int late = 0;
  // The first token was late, or a gap was too long.
  int late_first = 0;
  int late_gap = 0;
  // Ran in another data centre than that of the caller's instance.
  int left = 0;
  // Kilobytes of their requests and responses.
  double left_kilobytes = 0;
  // Means over the requests that were not refused.
  Duration mean_first{};
  Duration mean_longest_gap{};
  // Requests per engine of speed above 1 and at most 1.
  double per_fast_engine = 0;
  double per_slow_engine = 0;
};

struct EngineFleetOptions {
  int instances = 24;
  int engines = 16;
  int slots = 64;
  Duration report_interval = std::chrono::milliseconds(570);
  bench::VirtualEngineOptions engine;
  std::uint32_t seed = 1;
  // Instance and engine number n are in data centre n % data_centres.
  int data_centres = 1;
  // Engine number n has the speed n / data_centres % size; 1 if empty.
  std::vector<double> speeds = {};
  // For this share of the time, in periods of this length, the work of an
  // engine takes this many times as long.
  double noise_share = 0;
  double noise_factor = 1;
  Duration noise_period = std::chrono::milliseconds(600);
  // Whether engines state the slowdown by noise in their responses.
  bool states_slowdown = false;
  // Whether that includes the slowdown by their speed.
  bool states_speed = false;
  // Whether engines of another service, which gets no requests, state theirs.
  bool others_state_slowdown = false;
  int tokens_per_event = 1;
  int kv_tokens = 470'000;
  // The data centre that is cut off from the others at a time since the start;
  // -1 if none.
  std::function<int(Duration)> cut_centre = {};
};

// Runs requests of several kinds. A caller that is refused comes back a few
// times. Instances tell each other their loads, their work and the parts of
// prompts that they sent.
class EngineFleet {
 public:
  EngineFleet(const EngineFleetOptions& options,
              std::vector<RequestKind> kinds);
  ~EngineFleet();

  void Run(Duration duration);
  // Returns what happened to the requests that arrived in this time since the
  // start.
  [[nodiscard]] RequestCounts Counts(std::size_t kind, Duration from,
                                     Duration to) const;
  // Tokens of shared parts that an engine read although some engine had read
  // them before, as a share of all tokens that engines read.
  [[nodiscard]] double ReadAgainShare() const;
  // Tokens of shared parts that an engine read although some engine had read
  // them before.
  [[nodiscard]] double TokensReadAgain() const {
    return this->tokens_read_again;
  }
  // Returns the largest share of an engine's KV cache that its requests needed.
  [[nodiscard]] double MaxMemoryShare() const { return this->max_memory_share; }
  // Returns the largest number of requests at an engine.
  [[nodiscard]] int MaxLoad() const { return this->max_load; }
  // Identifies all placements and their order.
  [[nodiscard]] std::uint64_t PlacementHash() const {
    return this->placement_hash;
  }
  // Returns the largest number of requests of other data centres that reached
  // the engines of a data centre within a report interval.
  [[nodiscard]] int MaxEnteredPerInterval() const;

 private:
  struct Request;
  struct Engine;

  void Report();
  void Arrive(std::size_t kind);
  void ComeBack();
  void Place(std::unique_ptr<Request> request);
  void AdvanceEngine(std::size_t index);
  // Adds up what the engine has to read of the request's prompt, and caches it.
  int ReadPrompt(Engine& engine, const Request& request);
  // Chooses a server and sends the request there; returns false if there is
  // none.
  bool TrySend(Request& request);
  [[nodiscard]] std::size_t PickInstance(const RequestKind& traits);
  [[nodiscard]] int CentreOf(std::size_t number) const {
    return static_cast<int>(number) % this->options.data_centres;
  }
  [[nodiscard]] bool IsCut(int centre, int other_centre) const;
  [[nodiscard]] double NoiseOf(std::size_t engine) const;
  void RecordEvent(std::size_t engine, Request& request, TimePoint at);

  EngineFleetOptions options;
  std::vector<RequestKind> kinds;
  std::mt19937 random;
  TimePoint start = TimePoint{} + std::chrono::hours(1);
  TimePoint now = start;
  std::unique_ptr<ServerDecoder> decoder;
  std::unique_ptr<BackendDirectory> directory;
  std::vector<std::unique_ptr<Placer>> placers;
  std::vector<std::unique_ptr<Engine>> engines;
  std::multimap<TimePoint, std::unique_ptr<Request>> returning;
  std::vector<std::unique_ptr<Request>> ended;
  std::set<std::uint64_t> parts_read;
  std::uint64_t next_id = 1;
  double tokens_read = 0;
  double tokens_read_again = 0;
  double max_memory_share = 0;
  int max_load = 0;
  std::uint64_t placement_hash = 0;
  RoutedService service;
  std::vector<std::discrete_distribution<std::uint64_t>> subject_pickers;
  // Requests from other data centres, by data centre and report interval.
  std::map<std::pair<int, std::int64_t>, int> entered;
};

}  // namespace rosemarycove
