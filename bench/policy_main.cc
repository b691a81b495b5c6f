// Compares scheduling policies on virtual engines. See docs/POLICY.md.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "bench/baseline_policies.h"
#include "bench/virtual_run.h"
#include "bench/workload.h"

namespace rosemarycove::bench {
namespace {

using nlohmann::json;
using std::chrono::seconds;

const std::vector<std::string> kPolicies = {"round-robin", "least-reported",
                                            "two-choices", "ours", "oracle"};

// The conditions under which the policies are compared.
struct Scenario {
  std::string name;
  Workload workload;
  ArrivalOptions arrivals;
  RunOptions run;
  double attainment_weight = 0.5;
  int instances = 1;
};

std::unique_ptr<SchedulingPolicy> MakePolicy(const std::string& policy,
                                             int index, std::uint32_t seed) {
  if (policy == "round-robin") {
    return std::make_unique<RoundRobinPolicy>();
  }
  if (policy == "least-reported") {
    return std::make_unique<LeastReportedLoadPolicy>();
  }
  if (policy == "two-choices") {
    return std::make_unique<TwoChoicesPolicy>(seed);
  }
  if (policy == "oracle") {
    return std::make_unique<OraclePolicy>();
  }
  return std::make_unique<NodePolicy>(std::to_string(index), "a");
}

RunResult RunScenario(const Scenario& scenario, const std::string& policy,
                      std::uint32_t seed) {
  ArrivalOptions arrivals = scenario.arrivals;
  arrivals.seed = seed;
  std::vector<std::unique_ptr<SchedulingPolicy>> instances;
  instances.reserve(static_cast<std::size_t>(scenario.instances));
  for (int i = 0; i < scenario.instances; ++i) {
    instances.push_back(
        MakePolicy(policy, i, seed + static_cast<std::uint32_t>(i)));
  }
  VirtualRun run(scenario.workload, scenario.run, std::move(instances),
                 std::make_shared<const ResourceSet>(WorkloadResources(
                     scenario.workload, scenario.attainment_weight)),
                 seed);
  return run.Run(MakeArrivals(scenario.workload, arrivals));
}

std::vector<Scenario> MakeScenarios(Duration length) {
  std::vector<Scenario> scenarios;
  for (const Workload& workload : {SalvamarWorkload(), MreznicaWorkload()}) {
    for (const double load : {0.7, 1.0, 1.5, 2.0}) {
      for (const int lag : {0, 1, 5}) {
        scenarios.push_back(
            {.name = workload.name + " load " +
                     std::to_string(load).substr(0, 3) + " lag " +
                     std::to_string(lag),
             .workload = workload,
             .arrivals = {.offered_load = load, .duration = length},
             .run = {.report_lag = seconds(lag)}});
      }
    }
    const Scenario base{.name = {},
                        .workload = workload,
                        .arrivals = {.offered_load = 0.8, .duration = length},
                        .run = {}};
    Scenario burst = base;
    burst.name = workload.name + " burst";
    burst.arrivals.burst_class = workload.classes.back().request_class.name;
    burst.arrivals.burst_start = length / 4;
    burst.arrivals.burst_end = length / 2;
    scenarios.push_back(burst);
    Scenario straggler = base;
    straggler.name = workload.name + " straggler";
    straggler.run.faults = {
        {.engine = 0, .at = seconds(30), .kind = EngineFault::Kind::kSlow}};
    scenarios.push_back(straggler);
    Scenario steady = base;
    steady.name = workload.name + " no straggler";
    scenarios.push_back(steady);
    Scenario crash = base;
    crash.name = workload.name + " crash";
    crash.run.faults = {
        {.engine = 0, .at = seconds(30), .kind = EngineFault::Kind::kCrash},
        {.engine = 0, .at = seconds(50), .kind = EngineFault::Kind::kRestart}};
    scenarios.push_back(crash);
    for (const bool linked : {false, true}) {
      for (const int lag : {1, 5}) {
        Scenario nine_instances = base;
        nine_instances.arrivals.offered_load = 1.5;
        nine_instances.instances = 9;
        nine_instances.run.has_peer_links = linked;
        nine_instances.run.report_lag = seconds(lag);
        nine_instances.name = workload.name + " nine " +
                              (linked ? "linked" : "alone") + " lag " +
                              std::to_string(lag);
        scenarios.push_back(nine_instances);
      }
    }
    for (const double weight : {0.0, 1.0}) {
      Scenario weighted = base;
      weighted.arrivals.offered_load = 1.5;
      weighted.attainment_weight = weight;
      weighted.name = workload.name + " load 1.5 weight " +
                      std::to_string(weight).substr(0, 3);
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
  // Counts the requests that arrive at least five seconds after a fault at 30
  // s.
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

// A run and its result.
struct Job {
  const Scenario* scenario;
  std::string policy;
  std::uint32_t seed;
  json result;
};

// Prints the results of a policy in a scenario over all seeds: mean and range
// of the goodput and the worst values of the others.
void PrintRow(const Scenario& scenario, const std::string& policy,
              const std::vector<const Job*>& jobs) {
  double min_goodput = 1e18;
  double max_goodput = 0;
  double total = 0;
  double max_wasted_share = 0;
  for (const Job* job : jobs) {
    const double goodput = job->result["goodput"];
    min_goodput = std::min(min_goodput, goodput);
    max_goodput = std::max(max_goodput, goodput);
    total += goodput;
    max_wasted_share =
        std::max(max_wasted_share, job->result["wasted_share"].get<double>());
  }
  const auto count = static_cast<double>(jobs.size());
  std::printf("%-28s %-15s goodput %7.1f (%.1f-%.1f) wasted %.2f%% ",
              scenario.name.c_str(), policy.c_str(), total / count, min_goodput,
              max_goodput, 100 * max_wasted_share);
  for (const ClassTraffic& traffic : scenario.workload.classes) {
    const std::string& name = traffic.request_class.name;
    double min_attainment = 1;
    double longest_wait = 0;
    for (const Job* job : jobs) {
      const json& item = job->result["classes"][name];
      min_attainment = std::min(min_attainment, item.value("attainment", 1.0));
      longest_wait = std::max(longest_wait, item.value("longest_wait_s", 0.0));
    }
    std::printf(" | %s %.1f%% %.1fs", name.c_str(), 100 * min_attainment,
                longest_wait);
  }
  std::printf("\n");
}

int Main(int argc, char** argv) {
  CLI::App app("Compares routing policies on a virtual clock");
  int length = 120;
  int seeds = 3;
  std::string scenario_filter;
  std::string policy_filter;
  std::string output;
  app.add_option("--seconds", length, "Length of a run");
  app.add_option("--seeds", seeds, "Seeds, from 1");
  app.add_option("--only", scenario_filter,
                 "Scenarios whose name has this text");
  app.add_option("--policy", policy_filter, "One policy only");
  app.add_option("--json", output, "File for the raw results");
  CLI11_PARSE(app, argc, argv);

  const std::vector<Scenario> scenarios = MakeScenarios(seconds(length));
  std::vector<Job> jobs;
  for (const Scenario& scenario : scenarios) {
    if (scenario.name.find(scenario_filter) == std::string::npos) {
      continue;
    }
    for (const std::string& policy : kPolicies) {
      if (!policy_filter.empty() && policy != policy_filter) {
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
      std::fprintf(stderr, "cannot write %s\n", output.c_str());
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
