// Measures the time of a scheduling decision at a given number of engines,
// customers and waiting requests.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "core/scheduler.h"

namespace rosemarycove::bench {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr int kTiers = 6;
constexpr int kModels = 5;
constexpr int kDecisions = 20000;
constexpr double kSecondsPerMicrosecond = 1e-6;

// The numbers of engines, customers and waiting requests.
struct BenchmarkSize {
  int engines = 0;
  int customers = 0;
  int waiting = 0;
};

ResourceSet MakeResources(const BenchmarkSize& size) {
  ResourceSet resources;
  resources.revision = 1;
  resources.limits.max_waiting = 1'000'000;
  std::vector<std::string> classes;
  for (int tier = 1; tier <= kTiers; ++tier) {
    classes.push_back("class-" + std::to_string(tier));
    resources.classes.push_back({.name = classes.back(),
                                 .tier = tier,
                                 .target = {.whole = seconds(60 * tier)},
                                 .max_wait = std::chrono::hours(1),
                                 .guaranteed_share = tier > 3 ? 0.02 : 0});
  }
  for (int i = 0; i < size.customers; ++i) {
    resources.customers.push_back({.name = "customer-" + std::to_string(i),
                                   .key_hash = std::to_string(i),
                                   .classes = classes,
                                   .default_class = classes.front()});
  }
  Service service{.name = "models", .models = {}};
  for (int i = 0; i < kModels; ++i) {
    service.models.push_back("model-" + std::to_string(i));
  }
  resources.services = {service};
  for (int i = 0; i < size.engines; ++i) {
    resources.backends.push_back(
        {.name = "engine-" + std::to_string(i),
         .service = "models",
         .address = "10.0.0.1:1",
         .data_centre = "a",
         .models = {service.models[static_cast<std::size_t>(i % kModels)]}});
  }
  return resources;
}

// Returns the CPU time of this process.
double CpuSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds_of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * kSecondsPerMicrosecond;
  };
  return seconds_of(use.ru_utime) + seconds_of(use.ru_stime);
}

// Returns the resident memory of this process.
double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  constexpr double kPageBytes = 4096;
  return resident * kPageBytes;
}

// Times decisions while the queue keeps its length: each step ends one request,
// places another and adds a new one.
class DecisionTimer {
 public:
  explicit DecisionTimer(BenchmarkSize size) : size(size), random(1) {}

  json Run() {
    const double memory_before = ResidentBytes();
    const ResourceSet resources = MakeResources(this->size);
    Scheduler scheduler("a");
    scheduler.SetResources(resources, this->now);
    for (int i = 0; i < this->size.waiting; ++i) {
      this->AddRequest(scheduler);
    }
    while (const auto placed = scheduler.PlaceNext(this->now)) {
      this->running.push_back(*placed);
      this->AddRequest(scheduler);
    }
    const double memory_used = ResidentBytes() - memory_before;
    std::vector<double> times_us;
    times_us.reserve(kDecisions);
    const double cpu_before = CpuSeconds();
    for (int i = 0; i < kDecisions; ++i) {
      times_us.push_back(this->TimeDecision(scheduler));
    }
    const double cpu_used = CpuSeconds() - cpu_before;
    std::sort(times_us.begin(), times_us.end());
    return {{"engines", this->size.engines},
            {"customers", this->size.customers},
            {"waiting", this->size.waiting},
            {"median_us", times_us[times_us.size() / 2]},
            {"p99_us", times_us[times_us.size() * 99 / 100]},
            {"cpu_us", cpu_used / kDecisions / kSecondsPerMicrosecond},
            {"memory_bytes", memory_used}};
  }

 private:
  void AddRequest(Scheduler& scheduler) {
    std::uniform_int_distribution<int> tier(1, kTiers);
    std::uniform_int_distribution<int> customer(0, this->size.customers - 1);
    std::uniform_int_distribution<int> model(0, kModels - 1);
    const RequestId id = this->next_id++;
    const std::string class_name =
        "class-" + std::to_string(tier(this->random));
    this->class_names.push_back(class_name);
    scheduler.Enqueue(
        {.id = id,
         .class_name = class_name,
         .customer = "customer-" + std::to_string(customer(this->random)),
         .service = "models",
         .model = "model-" + std::to_string(model(this->random)),
         .arrival = this->now,
         .prompt_tokens = 300,
         .prefix_hash = id % 1000},
        this->now);
  }

  // Ends a random request, places the next one and adds a new one. Returns the
  // time that the three took, in microseconds.
  double TimeDecision(Scheduler& scheduler) {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    this->running.size() - 1);
    const std::size_t index = pick(this->random);
    const Placement ended = this->running[index];
    this->now += std::chrono::microseconds(100);
    const auto start = std::chrono::steady_clock::now();
    scheduler.ReleaseAfterSuccess(ended.backend,
                                  this->class_names[ended.id - 1], "customer-0",
                                  200, this->now);
    const auto placed = scheduler.PlaceNext(this->now);
    this->AddRequest(scheduler);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    if (placed) {
      this->running[index] = *placed;
    }
    return std::chrono::duration<double, std::micro>(elapsed).count();
  }

  BenchmarkSize size;
  std::mt19937 random;
  TimePoint now = TimePoint{} + seconds(1000);
  RequestId next_id = 1;
  std::vector<Placement> running;
  // Classes of the requests, by id - 1.
  std::vector<std::string> class_names;
};

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app("Times scheduling decisions; run once for each size");
  BenchmarkSize size{.engines = 810, .customers = 17000, .waiting = 10000};
  app.add_option("--engines", size.engines, "Engines")
      ->check(CLI::Range(5, 100'000))
      ->capture_default_str();
  app.add_option("--customers", size.customers, "Customers")
      ->check(CLI::Range(1, 1'000'000))
      ->capture_default_str();
  app.add_option("--waiting", size.waiting, "Requests waiting")
      ->check(CLI::Range(1, 500'000))
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  std::printf("%s\n", DecisionTimer(size).Run().dump().c_str());
  return 0;
}

}  // namespace rosemarycove::bench

int main(int argc, char** argv) {
  return rosemarycove::bench::Main(argc, argv);
}
