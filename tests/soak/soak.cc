// Runs gateways as separate processes against stand-ins for the store, the
// servers and the callers, and disturbs them in a series that a seed gives.
// Prints the seed; with each broken promise, the schedule, the folder with the
// logs and the lines of its request. The exit status is 1 if a promise was
// broken.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <list>
#include <thread>

#include "tests/soak/caller.h"
#include "tests/soak/fleet.h"
#include "tests/soak/promises.h"
#include "tests/soak/schedule.h"

namespace rosemarycove::soak {
namespace {

using std::chrono::milliseconds;

constexpr auto kTick = milliseconds(10);

struct SoakOptions {
  std::vector<std::uint64_t> seeds{1};
  int seconds = 15;
  int instances = 3;
  int callers = 16;
  bool checks_served = false;
  bool keeps_logs = false;
  std::string program = "build/rosemarycove";
  std::string other_program;
  bool has_silences = false;
  bool has_refusals = false;
  std::string folder = std::filesystem::temp_directory_path();
};

// One run.
class Soak {
 public:
  Soak(const SoakOptions& soak_options, std::uint64_t run_seed,
       const std::filesystem::path& folder)
      : options(soak_options),
        seed(run_seed),
        schedule(MakeSchedule(run_seed,
                              std::chrono::seconds(soak_options.seconds),
                              soak_options.instances)),
        promises({.checks_served = soak_options.checks_served}),
        fleet({.seed = run_seed,
               .instances = soak_options.instances,
               .program = soak_options.program,
               .other_program = soak_options.other_program,
               .has_silences = soak_options.has_silences,
               .has_refusals = soak_options.has_refusals,
               .folder = folder},
              this->promises) {}

  bool Run() {
    if (this->fleet.Start()) {
      std::list<Caller> callers;
      for (int i = 0; i < this->options.callers; ++i) {
        callers.emplace_back(i, this->seed + static_cast<unsigned>(i),
                             this->fleet.processes(), this->promises);
      }
      this->Disturb(callers);
      this->fleet.CheckUsage(this->options.callers);
      this->Stop(callers);
    }
    this->promises.Finish();
    return this->PrintResult();
  }

 private:
  void Tick(std::list<Caller>& callers) {
    std::this_thread::sleep_for(kTick);
    this->fleet.Advance();
    for (Caller& caller : callers) {
      caller.GiveUpIfSilent();
    }
  }

  void Disturb(std::list<Caller>& callers) {
    const auto begin = Clock::now();
    auto next = this->schedule.begin();
    while (Clock::now() < begin + std::chrono::seconds(this->options.seconds)) {
      for (; next != this->schedule.end() && Clock::now() >= begin + next->at;
           ++next) {
        this->fleet.Apply(*next);
      }
      this->Tick(callers);
    }
  }

  // The callers use their connections until the instances are gone.
  void Stop(std::list<Caller>& callers) {
    this->fleet.StopAll();
    while (!this->fleet.has_ended()) {
      this->Tick(callers);
    }
    for (Caller& caller : callers) {
      caller.Stop();
    }
    for (Caller& caller : callers) {
      while (!caller.is_done()) {
        this->Tick(callers);
      }
    }
  }

  bool PrintResult() {
    std::cout << this->promises.Summary();
    const std::vector<BrokenPromise> broken = this->promises.broken();
    if (!broken.empty()) {
      std::cout << "schedule:\n";
      for (const Event& event : this->schedule) {
        std::cout << Describe(event) << "\n";
      }
    }
    for (const BrokenPromise& promise : broken) {
      std::cout << "BROKEN: " << promise.request << " " << promise.what << "\n";
    }
    if (!broken.empty() && !broken.front().request.empty()) {
      this->PrintLogLines(broken.front().request);
    }
    std::cout << fmt::format("seed {}: {} promises broken\n", this->seed,
                             broken.size());
    return broken.empty();
  }

  void PrintLogLines(const std::string& request) const {
    for (const GatewayProcess* process : this->fleet.processes()) {
      for (const std::string& line :
           process->LogLinesWith("\"" + request + "\"")) {
        std::cout << "  " << process->name() << " " << line << "\n";
      }
    }
  }

  const SoakOptions& options;
  std::uint64_t seed;
  std::vector<Event> schedule;
  Promises promises;
  Fleet fleet;
};

// Returns 0 if no promise was broken, 1 if one was, 2 if nothing ran.
int RunSeed(const SoakOptions& options, std::uint64_t seed) {
  const std::filesystem::path folder =
      std::filesystem::path(options.folder) /
      fmt::format("rosemarycove-soak-{}-{}", seed, ::getpid());
  std::error_code error;
  if (!std::filesystem::create_directories(folder, error)) {
    std::cerr << folder << " exists or can't be made\n";
    return 2;
  }
  std::cout << fmt::format("seed {}, {} s, {} instances, logs in {}\n", seed,
                           options.seconds, options.instances, folder.string())
            << std::flush;
  const bool is_kept = Soak(options, seed, folder).Run();
  if (is_kept && !options.keeps_logs) {
    std::filesystem::remove_all(folder);
  }
  return is_kept ? 0 : 1;
}

}  // namespace
}  // namespace rosemarycove::soak

int main(int argc, char** argv) {
  using namespace rosemarycove::soak;  // NOLINT
  SoakOptions options;
  CLI::App app{"Runs gateways under a series of faults and checks them"};
  app.add_option("--seed", options.seeds, "Give the series, one run each");
  app.add_option("--seconds", options.seconds, "Length of a run")
      ->check(CLI::Range(1, 3600));
  app.add_option("--instances", options.instances, "Number of gateways")
      ->check(CLI::Range(1, 40));
  app.add_option("--callers", options.callers, "Number of callers")
      ->check(CLI::Range(1, 500));
  app.add_flag("--served", options.checks_served,
               "Check that instances cut off from all servers serve too");
  app.add_flag("--keep", options.keeps_logs, "Keep the logs of good runs");
  app.add_option("--program", options.program, "The gateway's program")
      ->check(CLI::ExistingFile);
  app.add_option("--other-program", options.other_program,
                 "Another build, with which instances run side by side")
      ->check(CLI::ExistingFile);
  app.add_flag("--silences", options.has_silences,
               "Servers fall silent for about a second and go on");
  app.add_flag("--refusals", options.has_refusals,
               "The store turns some instances away");
  app.add_option("--folder", options.folder,
                 "Folder for the folders with settings and logs");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  int status = 0;
  for (const std::uint64_t seed : options.seeds) {
    status = std::max(status, RunSeed(options, seed));
  }
  return status;
}
