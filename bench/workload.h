// Workloads modelled on two installations, and random arrivals drawn from them.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bench/virtual_engine.h"
#include "core/resources.h"

namespace rosemarycove::bench {

// The traffic of one class.
struct ClassTraffic {
  RequestClass request_class;
  // Fraction of the offered work.
  double work_share = 0;
  // Answer lengths have a log-normal distribution; length_sigma is the standard
  // deviation of their logarithm.
  double median_answer_tokens = 100;
  double length_sigma = 0.7;
  int prompt_tokens = 300;
};

// The traffic of an installation, and the size of that installation.
struct Workload {
  std::string name;
  std::vector<ClassTraffic> classes;
  int engines = 10;
  int customers = 10;
  VirtualEngineOptions engine;
};

// A request and the time of its arrival.
struct Arrival {
  TimePoint at;
  std::string class_name;
  std::string customer;
  int prompt_tokens = 0;
  int answer_tokens = 1;
};

// Load and duration of the arrivals of a run.
struct ArrivalOptions {
  // Offered work, prompts included, as a fraction of the work that all engines
  // do at the strictest target for the time between tokens.
  double offered_load = 1;
  Duration duration = std::chrono::seconds(120);
  // Class whose rate is ten times as high from burst_start to burst_end; empty
  // for none. Both times count from the start of the run.
  std::string burst_class;
  Duration burst_start{};
  Duration burst_end{};
  std::uint32_t seed = 1;
};

// Workloads at the sizes of the installations that they are named after.
Workload SalvamarWorkload();
Workload MreznicaWorkload();

// Returns the resources of a workload, in one data centre named "a".
ResourceSet WorkloadResources(const Workload& workload,
                              double attainment_weight);

// Returns the tokens per second that all engines of a workload generate at the
// strictest target for the time between tokens, without processing prompts.
double TokenCapacity(const Workload& workload);

// Returns random arrivals in order of time.
std::vector<Arrival> MakeArrivals(const Workload& workload,
                                  const ArrivalOptions& options);

}  // namespace rosemarycove::bench
