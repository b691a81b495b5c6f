// Measures the size of a configuration and the CPU time and memory needed to
// write, read and adopt it, for a given number of customers.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "app/configuration_manager.h"
#include "core/scheduler.h"
#include "store/digest.h"

namespace rosemarycove::bench {
namespace {

using nlohmann::json;

constexpr int kEngines = 810;
constexpr int kRepetitions = 3;

// Returns the CPU time of this process.
double CpuSeconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  const auto seconds_of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * 1e-6;
  };
  return seconds_of(use.ru_utime) + seconds_of(use.ru_stime);
}

// Returns the peak resident memory of this process.
double PeakBytes() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  constexpr double kBytesPerKib = 1024;
  return static_cast<double>(use.ru_maxrss) * kBytesPerKib;
}

StoredConfiguration MakeConfiguration(int customers) {
  StoredConfiguration stored;
  ResourceSet& resources = stored.resources;
  resources.revision = 1;
  for (int tier = 1; tier <= 6; ++tier) {
    resources.classes.push_back({.name = "class-" + std::to_string(tier),
                                 .tier = tier,
                                 .target = {.whole = std::chrono::minutes(1)}});
  }
  for (int i = 0; i < customers; ++i) {
    resources.customers.push_back({.name = "customer-" + std::to_string(i),
                                   .key_hash = Sha256Hex(std::to_string(i)),
                                   .classes = {"class-1", "class-2", "class-3"},
                                   .default_class = "class-2"});
  }
  resources.services = {{.name = "models", .models = {"m"}}};
  for (int i = 0; i < kEngines; ++i) {
    resources.backends.push_back({.name = "engine-" + std::to_string(i),
                                  .service = "models",
                                  .address = "10.0.0.1:" + std::to_string(i),
                                  .data_centre = "a",
                                  .models = {}});
  }
  return stored;
}

// Returns the mean CPU time of a call, in seconds.
template <typename Call>
double MeanCpuSeconds(const Call& call) {
  const double start = CpuSeconds();
  for (int i = 0; i < kRepetitions; ++i) {
    call();
  }
  return (CpuSeconds() - start) / kRepetitions;
}

json Measure(int customers) {
  const double initial_peak = PeakBytes();
  const StoredConfiguration stored = MakeConfiguration(customers);
  std::string text;
  const double write_seconds =
      MeanCpuSeconds([&] { text = ToStoredText(stored); });
  const double read_seconds = MeanCpuSeconds([&] { ParseStoredText(text); });
  Scheduler scheduler("a");
  const double adopt_seconds = MeanCpuSeconds([&] {
    scheduler.SetResources(stored.resources,
                           TimePoint{} + std::chrono::seconds(1000));
  });
  return {{"customers", customers},
          {"bytes", text.size()},
          {"write_ms", 1000 * write_seconds},
          {"read_ms", 1000 * read_seconds},
          {"adopt_ms", 1000 * adopt_seconds},
          {"peak_memory_bytes", PeakBytes() - initial_peak}};
}

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app("Measures one configuration; run once for each size");
  int customers = 17000;
  app.add_option("--customers", customers, "Customers in the configuration")
      ->check(CLI::Range(1, 1'000'000));
  CLI11_PARSE(app, argc, argv);
  std::printf("%s\n", Measure(customers).dump().c_str());
  return 0;
}

}  // namespace rosemarycove::bench

int main(int argc, char** argv) {
  return rosemarycove::bench::Main(argc, argv);
}
