// Many instances with placers, queues and admission control, modelled engines,
// and callers that repeat refused requests, on a virtual clock. Instances learn
// of each other only from reports.
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

// A class of requests.
struct CallerClass {
  Route route;
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
  // From this time on, prompts have other subjects, which no engine has cached.
  Duration cold_from = Duration::max();
  // How much more than another customer the first one sends.
  std::function<double(Duration)> heavy_factor = [](Duration) { return 1.0; };
};

// What happened to the requests of a class.
struct ClassCounts {
  int asked = 0;
  // By the time since the first attempt, and by the pauses.
  int on_time = 0;
  int late = 0;
  // By the time since the attempt that was served.
  int on_time_of_attempt = 0;
  // Never served.
  int lost = 0;
  // Refusals, those later than an eighth of the target, those of a request that
  // returned at its time, and such returns.
  int refusals = 0;
  int late_refusals = 0;
  int refused_again = 0;
  int returns = 0;
};

struct AdmissionFleetOptions {
  bool has_admission = true;
  int instances = 24;
  int engines = 20;
  int slots = 12;
  int kv_tokens = 377'470;
  int customers = 24;
  Duration report_interval = std::chrono::milliseconds(570);
  // Share of the callers that repeat a refused request at once, three times.
  double impatient_share = 1.0 / 3;
  // Share of the attempts that reach the same instance as the one before.
  double same_instance_share = 0.5;
  bench::VirtualEngineOptions engine;
  std::uint32_t seed = 1;
};

class AdmissionFleet {
 public:
  AdmissionFleet(const AdmissionFleetOptions& options,
                 std::vector<CallerClass> classes);
  ~AdmissionFleet();

  // Runs until all requests that arrived in this time have ended.
  void Run(Duration duration);
  // Returns what happened to the requests that first arrived in this time since
  // the start; of all, or of some callers.
  enum class Who : std::uint8_t {
    kAll,
    kFirstCustomer,
    kOthers,
    kImpatient,
    kPatient
  };
  [[nodiscard]] ClassCounts Counts(std::size_t index, Duration from,
                                   Duration to, Who who = Who::kAll) const;
  // The most requests that returned at their time within 100 ms.
  [[nodiscard]] int MaxReturnsPerSlice() const;
  // The returns at the given time per 100 ms, while there were any.
  [[nodiscard]] double MeanReturnsPerSlice() const;

 private:
  struct Request;
  struct Engine;
  struct Instance;

  void Report();
  void Arrive(std::size_t index);
  void ComeBack();
  void Place(std::unique_ptr<Request> request);
  void Refuse(std::unique_ptr<Request> request, Duration retry_after);
  Duration RetryAfter(Request& request);
  void AdmitWaiting(Instance& instance);
  void Send(std::unique_ptr<Request> request, const ServerChoice& choice);
  void AdvanceEngine(std::size_t index);
  int ReadPrompt(Engine& engine, const Request& request);
  std::optional<ServerChoice> Choose(Request& request, NoChoiceReason& why_not,
                                     bool is_waiting);

  AdmissionFleetOptions options;
  std::vector<CallerClass> classes;
  std::mt19937 random;
  TimePoint start = TimePoint{} + std::chrono::hours(1);
  TimePoint now = start;
  Duration last_arrival{};
  RoutedService service;
  std::unique_ptr<ServerDecoder> decoder;
  std::unique_ptr<BackendDirectory> directory;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Engine>> engines;
  std::multimap<TimePoint, std::unique_ptr<Request>> returning;
  std::vector<std::unique_ptr<Request>> ended;
  std::map<std::int64_t, int> returns_by_slice;
  std::uint64_t next_id = 1;
};

}  // namespace rosemarycove
