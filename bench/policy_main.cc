// Compares routing policies against virtual engines. See docs/POLICY.md.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/baseline_deciders.h"
#include "bench/virtual_run.h"
#include "bench/workload.h"

namespace rosemarycove::bench {
namespace {

using nlohmann::json;
using std::chrono::seconds;

const std::vector<std::string> kPolicies = {"round-robin", "least-reported",
                                            "two-choices", "ours", "oracle"};

// One cell of the comparison.
struct Scenario {
  std::string name;
  Mix mix;
  LoadOptions load;
  RunOptions run;
  double attainment_weight = 0.5;
  int deciders = 1;
};

std::unique_ptr<Decider> MakeDecider(const std::string& policy, int index,
                                     std::uint32_t seed) {
  if (policy == "round-robin") {
    return std::make_unique<RoundRobinDecider>();
  }
  if (policy == "least-reported") {
    return std::make_unique<LeastReportedDecider>();
  }
  if (policy == "two-choices") {
    return std::make_unique<TwoChoicesDecider>(seed);
  }
  if (policy == "oracle") {
    return std::make_unique<OracleDecider>();
  }
  return std::make_unique<NodeDecider>(std::to_string(index), "a");
}

RunResult RunScenario(const Scenario& scenario, const std::string& policy,
                      std::uint32_t seed) {
  LoadOptions load = scenario.load;
  load.seed = seed;
  std::vector<std::unique_ptr<Decider>> deciders;
  deciders.reserve(static_cast<std::size_t>(scenario.deciders));
  for (int i = 0; i < scenario.deciders; ++i) {
    deciders.push_back(
        MakeDecider(policy, i, seed + static_cast<std::uint32_t>(i)));
  }
  VirtualRun run(scenario.mix, scenario.run, std::move(deciders),
                 std::make_shared<const ResourceSet>(
                     MixResources(scenario.mix, scenario.attainment_weight)),
                 seed);
  return run.Run(MakeArrivals(scenario.mix, load));
}

std::vector<Scenario> MakeScenarios(Duration length) {
  std::vector<Scenario> scenarios;
  for (const Mix& mix : {SalvamarMix(), MreznicaMix()}) {
    for (const double load : {0.7, 1.0, 1.5, 2.0}) {
      for (const int lag : {0, 1, 5}) {
        scenarios.push_back({.name = mix.name + " load " +
                                     std::to_string(load).substr(0, 3) +
                                     " lag " + std::to_string(lag),
                             .mix = mix,
                             .load = {.load = load, .length = length},
                             .run = {.report_lag = seconds(lag)}});
      }
    }
    const Scenario base{.name = {},
                        .mix = mix,
                        .load = {.load = 0.8, .length = length},
                        .run = {}};
    Scenario burst = base;
    burst.name = mix.name + " burst";
    burst.load.burst_class = mix.classes.back().definition.name;
    burst.load.burst_from = length / 4;
    burst.load.burst_to = length / 2;
    scenarios.push_back(burst);
    Scenario straggler = base;
    straggler.name = mix.name + " straggler";
    straggler.run.faults = {
        {.engine = 0, .at = seconds(30), .kind = EngineFault::Kind::kSlow}};
    scenarios.push_back(straggler);
    Scenario steady = base;
    steady.name = mix.name + " no straggler";
    scenarios.push_back(steady);
    Scenario crash = base;
    crash.name = mix.name + " crash";
    crash.run.faults = {
        {.engine = 0, .at = seconds(30), .kind = EngineFault::Kind::kCrash},
        {.engine = 0, .at = seconds(50), .kind = EngineFault::Kind::kRestart}};
    scenarios.push_back(crash);
    for (const bool linked : {false, true}) {
      for (const int lag : {1, 5}) {
        Scenario nine = base;
        nine.load.load = 1.5;
        nine.deciders = 9;
        nine.run.linked = linked;
        nine.run.report_lag = seconds(lag);
        nine.name = mix.name + " nine " + (linked ? "linked" : "alone") +
                    " lag " + std::to_string(lag);
        scenarios.push_back(nine);
      }
    }
    for (const double weight : {0.0, 1.0}) {
      Scenario weighted = base;
      weighted.load.load = 1.5;
      weighted.attainment_weight = weight;
      weighted.name =
          mix.name + " load 1.5 weight " + std::to_string(weight).substr(0, 3);
      scenarios.push_back(weighted);
    }
  }
  return scenarios;
}

json ToJson(const RunResult& result) {
  json classes = json::object();
  for (const auto& [name, item] : result.classes) {
    classes[name] = {{"arrived", item.arrived},
                     {"attainment", item.Attainment()},
                     {"refused", item.refused},
                     {"failed", item.failed},
                     {"longest_wait_s", ToSeconds(item.longest_wait)}};
  }
  // Requests that arrive more than five seconds after a fault at 30 s.
  std::uint64_t arrived = 0;
  std::uint64_t on_target = 0;
  for (const auto& [second, counts] : result.by_second) {
    if (second >= 35) {
      arrived += counts.first;
      on_target += counts.second;
    }
  }
  return {{"classes", classes},
          {"goodput", result.Goodput()},
          {"attainment", result.TotalAttainment()},
          {"attainment_after_35s",
           arrived == 0
               ? 1.0
               : static_cast<double>(on_target) / static_cast<double>(arrived)},
          {"tokens", result.tokens},
          {"wasted_share", result.WastedShare()},
          {"wasted_tokens", result.wasted_tokens},
          {"messages", result.messages},
          {"crashed_tokens", result.crashed_tokens}};
}

// One run and its place in the results.
struct Job {
  const Scenario* scenario;
  std::string policy;
  std::uint32_t seed;
  json result;
};

void PrintRow(const Scenario& scenario, const std::string& policy,
              const std::vector<const Job*>& jobs) {
  double least = 1e18;
  double most = 0;
  double total = 0;
  double wasted = 0;
  for (const Job* job : jobs) {
    const double goodput = job->result["goodput"];
    least = std::min(least, goodput);
    most = std::max(most, goodput);
    total += goodput;
    wasted = std::max(wasted, job->result["wasted_share"].get<double>());
  }
  const auto count = static_cast<double>(jobs.size());
  std::printf("%-28s %-15s goodput %7.1f (%.1f-%.1f) wasted %.2f%% ",
              scenario.name.c_str(), policy.c_str(), total / count, least, most,
              100 * wasted);
  for (const ClassTraffic& traffic : scenario.mix.classes) {
    const std::string& name = traffic.definition.name;
    double lowest = 1;
    double wait = 0;
    for (const Job* job : jobs) {
      const json& item = job->result["classes"][name];
      lowest = std::min(lowest, item.value("attainment", 1.0));
      wait = std::max(wait, item.value("longest_wait_s", 0.0));
    }
    std::printf(" | %s %.1f%% %.1fs", name.c_str(), 100 * lowest, wait);
  }
  std::printf("\n");
}

int Main(int argc, char** argv) {
  CLI::App app("Compares routing policies on a virtual clock");
  int length = 120;
  int seeds = 3;
  std::string only;
  std::string only_policy;
  std::string output;
  app.add_option("--seconds", length, "Length of a run");
  app.add_option("--seeds", seeds, "Seeds, from 1");
  app.add_option("--only", only, "Scenarios whose name has this text");
  app.add_option("--policy", only_policy, "One policy only");
  app.add_option("--json", output, "File for the raw results");
  CLI11_PARSE(app, argc, argv);

  const std::vector<Scenario> scenarios = MakeScenarios(seconds(length));
  std::vector<Job> jobs;
  for (const Scenario& scenario : scenarios) {
    if (scenario.name.find(only) == std::string::npos) {
      continue;
    }
    for (const std::string& policy : kPolicies) {
      if (!only_policy.empty() && policy != only_policy) {
        continue;
      }
      for (int seed = 1; seed <= seeds; ++seed) {
        jobs.push_back({.scenario = &scenario,
                        .policy = policy,
                        .seed = static_cast<std::uint32_t>(seed),
                        .result = {}});
      }
    }
  }
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency());
       ++i) {
    threads.emplace_back([&] {
      for (std::size_t job = next++; job < jobs.size(); job = next++) {
        jobs[job].result = ToJson(
            RunScenario(*jobs[job].scenario, jobs[job].policy, jobs[job].seed));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  json all = json::array();
  for (std::size_t i = 0; i < jobs.size();
       i += static_cast<std::size_t>(seeds)) {
    std::vector<const Job*> row;
    for (std::size_t j = i; j < i + static_cast<std::size_t>(seeds); ++j) {
      row.push_back(&jobs[j]);
      all.push_back({{"scenario", jobs[j].scenario->name},
                     {"policy", jobs[j].policy},
                     {"seed", jobs[j].seed},
                     {"result", jobs[j].result}});
    }
    PrintRow(*jobs[i].scenario, jobs[i].policy, row);
  }
  if (!output.empty()) {
    std::FILE* file = std::fopen(output.c_str(), "w");
    if (file == nullptr) {
      std::fprintf(stderr, "%s can't be written\n", output.c_str());
      return 1;
    }
    std::fputs((all.dump(1) + "\n").c_str(), file);
    std::fclose(file);
  }
  return 0;
}

}  // namespace
}  // namespace rosemarycove::bench

int main(int argc, char** argv) {
  return rosemarycove::bench::Main(argc, argv);
}
