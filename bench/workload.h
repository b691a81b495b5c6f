// Request mixes of the users, as random arrivals.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "bench/virtual_engine.h"
#include "core/resources.h"

namespace rosemarycove::bench {

// The requests of one class.
struct ClassTraffic {
  RequestClass definition;
  // Share of the offered work.
  double work_share = 0;
  // Answer lengths are log-normal.
  double median_tokens = 100;
  double sigma = 0.7;
  int prompt_tokens = 300;
};

// A user's services, classes and sizes.
struct Mix {
  std::string name;
  std::vector<ClassTraffic> classes;
  int engines = 10;
  int customers = 10;
  VirtualEngineOptions engine;
};

// One request as it will arrive.
struct Arrival {
  TimePoint at;
  std::string class_name;
  std::string customer;
  int prompt_tokens = 0;
  int tokens = 1;
};

// What is offered in a run.
struct LoadOptions {
  // Offered work, prompts included, over what all engines do at the strictest
  // time between tokens.
  double load = 1;
  Duration length = std::chrono::seconds(120);
  // One class offers ten times its rate between these times; empty is none.
  std::string burst_class;
  Duration burst_from{};
  Duration burst_to{};
  std::uint32_t seed = 1;
};

// The mixes at the users' sizes.
Mix SalvamarMix();
Mix MreznicaMix();

// The resources that a mix declares, one data centre "a".
ResourceSet MixResources(const Mix& mix, double attainment_weight);

// Tokens a second that the mix's engines make at the strictest time between
// tokens when they read no prompts.
double Capacity(const Mix& mix);

// Arrivals in order of time.
std::vector<Arrival> MakeArrivals(const Mix& mix, const LoadOptions& options);

}  // namespace rosemarycove::bench
