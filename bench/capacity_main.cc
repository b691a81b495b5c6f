// Writes the tables of docs/CAPACITY.md from the raw results in
// docs/measurements, or checks that the page agrees with them.
#include <CLI/CLI.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "bench/least_squares.h"

namespace rosemarycove::bench {
namespace {

using nlohmann::json;

constexpr char kTablesBegin[] = "<!-- tables: made by tools/capacity -->\n";
constexpr char kTablesEnd[] = "<!-- end of tables -->\n";

// The target size, expected in two years, and a node's budget for control
// traffic and scheduling.
constexpr double kNodes = 360;
constexpr double kDataCentres = 6;
constexpr double kEngines = 810;
constexpr double kModels = 5;
constexpr double kRequestsPerSecond = 2500;
constexpr double kTokensPerSecond = 990000;
constexpr double kCustomers = 17000;
constexpr double kChangesPerDay = 2900;
constexpr double kRestartsPerDay = 175;  // Failures included.
constexpr double kSecondsPerDay = 86400;
constexpr double kMaxCpuPercent = 4.1;  // Of one core.
constexpr double kMaxMemoryMb = 128;
constexpr double kMaxKbPerSecond = 12;
constexpr double kMaxStoreCallsPerSecond = 2000;  // Of the whole fleet.
// Size limit of one stored value.
constexpr double kMaxValueBytes = 1 << 20;
constexpr double kServersPerGroup = 24;
// Time that a watch call waits at the store for a change.
constexpr double kWatchPeriodSeconds = 5;
// Assumed fraction of requests that carry an idempotency key and must not be
// repeated.
constexpr double kClaimFraction = 0.05;

// SI prefixes.
constexpr double kMega = 1e6;
constexpr double kKilo = 1e3;

json ReadResults(const std::string& folder, const std::string& name) {
  std::ifstream file(folder + "/" + name + ".json");
  return json::parse(file);
}

std::string FormatNumber(double value) {
  std::array<char, 64> text{};
  const char* format = std::abs(value) >= 100   ? "%.0f"
                       : std::abs(value) >= 10  ? "%.1f"
                       : std::abs(value) >= 0.1 ? "%.2f"
                                                : "%.4f";
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

// Costs fitted to the raw results, as shown in the tables.
struct FittedCosts {
  Line decision_by_log_waiting;
  Line decision_by_log_engines;
  Line config_bytes;
  Line config_read;
  Line config_adopt;
  Line config_memory;
  Line front_by_tokens;
  Line fleet_idle_cpu;
  Line fleet_idle_bytes;
  Line fleet_reads;
  Line fleet_in_force;
  Line fleet_memory;
  double loaded_bytes_per_request = 0;
  double loaded_cpu_per_request = 0;
  double idle_cpu = 0;
  double idle_memory = 0;
};

// Returns the percentage of a core that an idle instance of the fleet used.
double IdleCpuPercent(const json& row) {
  return 100 * row["idle"]["ticks"].get<double>() /
         row["ticks_per_second"].get<double>() /
         (row["idle"]["milliseconds"].get<double>() / kKilo) /
         row["instances"].get<double>();
}

// Returns the bytes per second that an idle instance sent to its peers.
double IdleBytesPerSecond(const json& row) {
  return row["idle"]["bytes"].get<double>() /
         (row["idle"]["milliseconds"].get<double>() / kKilo) /
         row["instances"].get<double>();
}

FittedCosts FitCosts(const std::string& folder) {
  FittedCosts costs;
  std::vector<Point> by_waiting;
  std::vector<Point> by_engines;
  for (const json& row : ReadResults(folder, "decision")) {
    const double cpu = row["cpu_us"];
    if (row["engines"] == kEngines && row["customers"] == kCustomers) {
      by_waiting.push_back(
          {.x = std::log2(row["waiting"].get<double>()), .y = cpu});
    }
    if (row["waiting"] == 10000 && row["customers"] == kCustomers) {
      by_engines.push_back(
          {.x = std::log2(row["engines"].get<double>()), .y = cpu});
    }
  }
  costs.decision_by_log_waiting = FitLine(by_waiting);
  costs.decision_by_log_engines = FitLine(by_engines);
  std::vector<Point> bytes;
  std::vector<Point> read;
  std::vector<Point> adopt;
  std::vector<Point> memory;
  for (const json& row : ReadResults(folder, "configuration")) {
    const double x = row["customers"];
    bytes.push_back({.x = x, .y = row["bytes"]});
    read.push_back({.x = x, .y = row["read_ms"]});
    adopt.push_back({.x = x, .y = row["adopt_ms"]});
    memory.push_back({.x = x, .y = row["peak_memory_bytes"]});
  }
  costs.config_bytes = FitLine(bytes);
  costs.config_read = FitLine(read);
  costs.config_adopt = FitLine(adopt);
  costs.config_memory = FitLine(memory);
  std::vector<Point> by_tokens;
  for (const json& row : ReadResults(folder, "front")) {
    const json& result = row["result"];
    by_tokens.push_back({.x = row["tokens"],
                         .y = 1000 * result["cpu_seconds"].get<double>() /
                              result["completed"].get<double>()});
  }
  costs.front_by_tokens = FitLine(by_tokens);
  std::vector<Point> idle_cpu;
  std::vector<Point> idle_bytes;
  std::vector<Point> reads;
  std::vector<Point> in_force;
  std::vector<Point> fleet_memory;
  for (const json& row : ReadResults(folder, "fleet")) {
    const double x = row["instances"];
    idle_cpu.push_back({.x = x, .y = IdleCpuPercent(row)});
    idle_bytes.push_back({.x = x, .y = IdleBytesPerSecond(row)});
    reads.push_back({.x = x,
                     .y = row["idle"]["reads"].get<double>() /
                          (row["idle"]["milliseconds"].get<double>() / kKilo)});
    for (const json& time : row["in_force_ms"]) {
      in_force.push_back({.x = x, .y = time});
    }
    fleet_memory.push_back({.x = x, .y = row["memory_bytes"]});
    const json& loaded = row["loaded"];
    const double seconds = loaded["milliseconds"].get<double>() / kKilo;
    costs.loaded_bytes_per_request = (loaded["bytes"].get<double>() -
                                      IdleBytesPerSecond(row) * x * seconds) /
                                     loaded["completed"].get<double>();
  }
  costs.fleet_idle_cpu = FitLine(idle_cpu);
  costs.fleet_idle_bytes = FitLine(idle_bytes);
  costs.fleet_reads = FitLine(reads);
  costs.fleet_in_force = FitLine(in_force);
  costs.fleet_memory = FitLine(fleet_memory);
  const json idle = ReadResults(folder, "idle");
  costs.idle_cpu = 100 * idle["cpu_ticks"].get<double>() /
                   idle["ticks_per_second"].get<double>() /
                   idle["seconds"].get<double>();
  costs.idle_memory = idle["memory_bytes"].get<double>() / kMega;
  return costs;
}

// Appends a row of a Markdown table.
void AppendRow(std::string& text, const std::vector<std::string>& cells) {
  for (const std::string& cell : cells) {
    text += "| " + cell + " ";
  }
  text += "|\n";
}

void AppendSlopeRow(std::string& text, const std::string& what,
                    const std::string& unit, const Line& line,
                    const std::string& source) {
  AppendRow(text,
            {what, unit, FormatNumber(line.intercept), FormatNumber(line.slope),
             FormatNumber(line.slope_error), source});
}

std::string SlopeTable(const FittedCosts& costs) {
  std::string text = "## Measured slopes\n\n";
  AppendRow(text,
            {"cost", "unit", "at 0", "slope", "standard error", "raw results"});
  AppendRow(text, {"---", "---", "---", "---", "---", "---"});
  AppendSlopeRow(text, "arrival, end and decision, by log2 of requests waiting",
                 "us CPU", costs.decision_by_log_waiting, "decision.json");
  AppendSlopeRow(text, "the same, by log2 of engines", "us CPU",
                 costs.decision_by_log_engines, "decision.json");
  AppendSlopeRow(text, "configuration's size, by customers", "bytes",
                 costs.config_bytes, "configuration.json");
  AppendSlopeRow(text, "reading it, by customers", "ms CPU", costs.config_read,
                 "configuration.json");
  AppendSlopeRow(text, "taking it over, by customers", "ms CPU",
                 costs.config_adopt, "configuration.json");
  AppendSlopeRow(text, "memory while reading it, by customers", "bytes",
                 costs.config_memory, "configuration.json");
  AppendSlopeRow(text, "a request through the front, by its tokens", "ms CPU",
                 costs.front_by_tokens, "front.json");
  AppendSlopeRow(text, "an idle instance, by instances", "% of a core",
                 costs.fleet_idle_cpu, "fleet.json");
  AppendSlopeRow(text, "bytes that an idle instance sends, by instances", "B/s",
                 costs.fleet_idle_bytes, "fleet.json");
  AppendSlopeRow(text, "calls at the store and the list, idle, by instances",
                 "1/s", costs.fleet_reads, "fleet.json");
  AppendSlopeRow(text, "from acceptance to in force, by instances", "ms",
                 costs.fleet_in_force, "fleet.json");
  AppendSlopeRow(text, "memory of an instance, by instances", "bytes",
                 costs.fleet_memory, "fleet.json");
  text += "\nA granted request cost " +
          FormatNumber(costs.loaded_bytes_per_request) +
          " bytes between instances at the largest fleet measured (fleet.json, "
          "averaged over all requests, of which some are scheduled where they "
          "arrive). One instance alone, idle: " +
          FormatNumber(costs.idle_cpu) + "% of a core, " +
          FormatNumber(costs.idle_memory) + " MB (idle.json).\n";
  return text;
}

std::string Verdict(double value, double budget) {
  return value <= budget ? "fits" : "DOES NOT FIT";
}

std::string TargetTable(const FittedCosts& costs) {
  const double groups =
      kDataCentres * kModels *
      std::ceil(kEngines / kDataCentres / kModels / kServersPerGroup);
  const double requests_per_second =
      2 * kRequestsPerSecond / groups;  // A node with two groups.
  const double decision =
      costs.decision_by_log_waiting.At(std::log2(10000)) / kMega;
  const double scheduling = 100 * requests_per_second * decision;
  const double scheduling_kb =
      requests_per_second * costs.loaded_bytes_per_request / kKilo;
  const double config_bytes = costs.config_bytes.At(kCustomers);
  const double change_cpu =
      100 * kChangesPerDay / kSecondsPerDay *
      (costs.config_read.At(kCustomers) + costs.config_adopt.At(kCustomers)) /
      kKilo;
  const double change_kb =
      kChangesPerDay / kSecondsPerDay * config_bytes / kKilo;
  const double idle_kb = costs.fleet_idle_bytes.At(kNodes) / kKilo;
  const double idle_cpu = costs.fleet_idle_cpu.At(kNodes);
  const double memory_mb = costs.fleet_memory.At(kNodes) / kMega;
  const double config_memory_mb = costs.config_memory.At(kCustomers) / kMega;
  const double claims = kRequestsPerSecond * kClaimFraction;
  const double watches = kNodes / kWatchPeriodSeconds;
  const double change_reads = kChangesPerDay / kSecondsPerDay * kNodes;
  std::string text = "## At the target size\n\n";
  AppendRow(text, {"role or mechanism", "figure", "budget", "verdict", "how"});
  AppendRow(text, {"---", "---", "---", "---", "---"});
  const auto add_row = [&](const std::string& what, double value,
                           const std::string& unit, double budget,
                           const std::string& how) {
    AppendRow(text,
              {what, FormatNumber(value) + " " + unit,
               FormatNumber(budget) + " " + unit, Verdict(value, budget), how});
  };
  add_row("links, idle: processor", idle_cpu, "%", kMaxCpuPercent,
          "worked out from the fleet's slope; links to all nodes");
  add_row("links, idle: sent", idle_kb, "KB/s", kMaxKbPerSecond,
          "worked out; heartbeats of 1 s near and 5 s far");
  add_row("scheduler of two busy groups: processor", scheduling, "%",
          kMaxCpuPercent,
          "worked out from measured decisions, messages not included");
  add_row("scheduler of two busy groups: sent", scheduling_kb, "KB/s",
          kMaxKbPerSecond, "worked out from bytes a request");
  add_row("configuration: processor", change_cpu, "%", kMaxCpuPercent,
          "each node reads the whole configuration at each change");
  add_row("configuration: received", change_kb, "KB/s", kMaxKbPerSecond,
          "the same; from the store, not from peers");
  add_row("configuration: one value", config_bytes / kMega, "MB",
          kMaxValueBytes / kMega, "one value holds everything");
  add_row("memory: instance with all links", memory_mb, "MB", kMaxMemoryMb,
          "worked out from the fleet's slope");
  add_row("memory: while a configuration is read", memory_mb + config_memory_mb,
          "MB", kMaxMemoryMb, "the same and the peak of reading");
  add_row("store: watches", watches, "calls/s", kMaxStoreCallsPerSecond,
          "each node waits by itself; grows with the fleet");
  add_row("store and list: all idle calls", costs.fleet_reads.At(kNodes),
          "calls/s", kMaxStoreCallsPerSecond,
          "the fleet's slope: each node reads the list once a second");
  add_row("store: reads after changes, mean", change_reads, "calls/s",
          kMaxStoreCallsPerSecond, "each node reads each change");
  add_row("store: claims", claims, "writes/s", 300,
          "one write a claim, at an assumed 5% of requests with a key");
  add_row("store: all watchers back at once", kNodes, "calls",
          kMaxStoreCallsPerSecond, "after an outage, within about a second");
  add_row("change to in force", costs.fleet_in_force.At(kNodes) / kKilo, "s",
          10, "worked out; at the measured configuration of one customer");
  add_row("a morning of restarts: links made",
          kRestartsPerDay * kNodes / 4 / 3600, "1/s", 1000,
          "175 in four hours, each with a link to every node");
  text += "\nThe front's data path, which is not control: a node takes " +
          FormatNumber(kRequestsPerSecond / kNodes) + " requests and " +
          FormatNumber(kTokensPerSecond / kNodes) + " tokens a second, " +
          FormatNumber(
              100 / kKilo *
              (kRequestsPerSecond / kNodes * costs.front_by_tokens.intercept +
               kTokensPerSecond / kNodes * costs.front_by_tokens.slope)) +
          "% of a core at one event a token.\n";
  return text;
}

std::string MakeTables(const std::string& folder) {
  const FittedCosts costs = FitCosts(folder);
  return SlopeTable(costs) + "\n" + TargetTable(costs);
}

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app("Writes or checks the tables of docs/CAPACITY.md");
  std::string page = "docs/CAPACITY.md";
  std::string folder = "docs/measurements";
  bool check = false;
  app.add_option("--page", page, "The page")->capture_default_str();
  app.add_option("--results", folder, "Folder of the raw results")
      ->capture_default_str();
  app.add_flag("--check", check, "Fail when the page differs");
  CLI11_PARSE(app, argc, argv);
  const std::string current_page = ReadFile(page);
  const std::size_t begin = current_page.find(kTablesBegin);
  const std::size_t end = current_page.find(kTablesEnd);
  if (begin == std::string::npos || end == std::string::npos) {
    std::cerr << page << " has no markers for the tables\n";
    return 1;
  }
  const std::string updated_page = current_page.substr(0, begin) +
                                   kTablesBegin + "\n" + MakeTables(folder) +
                                   "\n" + current_page.substr(end);
  if (check && updated_page != current_page) {
    std::cerr << page << " differs from its raw results\n";
    return 1;
  }
  if (!check) {
    std::ofstream(page) << updated_page;
  }
  return 0;
}

}  // namespace rosemarycove::bench

int main(int argc, char** argv) {
  return rosemarycove::bench::Main(argc, argv);
}
