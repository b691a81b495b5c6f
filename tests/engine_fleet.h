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
};

// What happened to the requests of a kind.
struct RequestCounts {
  int asked = 0;
  // Ended with a refusal, after all tries of the caller.
  int refused = 0;
  // The first token came within the target, and no gap was over the route's.
  int on_time = 0;
  int late = 0;
};

struct EngineFleetOptions {
  int instances = 24;
  int engines = 16;
  int slots = 64;
  Duration report_interval = std::chrono::milliseconds(570);
  bench::VirtualEngineOptions engine;
  std::uint32_t seed = 1;
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
};

}  // namespace rosemarycove
