// Writes the tables of docs/CAPACITY.md from the raw results beside it, or
// checks that page and results agree.
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

constexpr char kBegin[] = "<!-- tables: made by tools/capacity -->\n";
constexpr char kEnd[] = "<!-- end of tables -->\n";

// The size in two years, and the budget of a node for control.
constexpr double kNodes = 360;
constexpr double kDataCentres = 6;
constexpr double kEngines = 810;
constexpr double kModels = 5;
constexpr double kRequests = 2500;  // A second.
constexpr double kTokens = 990000;  // A second.
constexpr double kCustomers = 17000;
constexpr double kChanges = 2900;      // A day.
constexpr double kRestarts = 175;      // A day, failures included.
constexpr double kDay = 86400;         // Seconds.
constexpr double kCpuBudget = 4.1;     // Percent of a core.
constexpr double kMemoryBudget = 128;  // MB.
constexpr double kBytesBudget = 12;    // KB a second.
constexpr double kReadBudget = 2000;   // Store reads a second.
constexpr double kValueLimit = 1 << 20;
constexpr double kGroupServers = 24;
constexpr double kWatchSeconds = 5;
// Assumed share of requests that carry an idempotency key and may not be
// repeated.
constexpr double kClaimShare = 0.05;

constexpr double kMega = 1e6;
constexpr double kKilo = 1e3;

json Load(const std::string& folder, const std::string& name) {
  std::ifstream file(folder + "/" + name + ".json");
  return json::parse(file);
}

std::string Number(double value) {
  std::array<char, 64> text{};
  const char* format = std::abs(value) >= 100   ? "%.0f"
                       : std::abs(value) >= 10  ? "%.1f"
                       : std::abs(value) >= 0.1 ? "%.2f"
                                                : "%.4f";
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

// Everything that the page's tables are made of.
struct Slopes {
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

// Percent of a core that an idle instance of the fleet used.
double IdlePercent(const json& row) {
  return 100 * row["idle"]["ticks"].get<double>() /
         row["ticks_per_second"].get<double>() /
         (row["idle"]["milliseconds"].get<double>() / kKilo) /
         row["instances"].get<double>();
}

// Bytes a second that an idle instance sent.
double IdleBytes(const json& row) {
  return row["idle"]["bytes"].get<double>() /
         (row["idle"]["milliseconds"].get<double>() / kKilo) /
         row["instances"].get<double>();
}

Slopes Fit(const std::string& folder) {
  Slopes slopes;
  std::vector<Point> by_waiting;
  std::vector<Point> by_engines;
  for (const json& row : Load(folder, "decision")) {
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
  slopes.decision_by_log_waiting = FitLine(by_waiting);
  slopes.decision_by_log_engines = FitLine(by_engines);
  std::vector<Point> bytes;
  std::vector<Point> read;
  std::vector<Point> adopt;
  std::vector<Point> memory;
  for (const json& row : Load(folder, "configuration")) {
    const double x = row["customers"];
    bytes.push_back({.x = x, .y = row["bytes"]});
    read.push_back({.x = x, .y = row["read_ms"]});
    adopt.push_back({.x = x, .y = row["adopt_ms"]});
    memory.push_back({.x = x, .y = row["peak_memory_bytes"]});
  }
  slopes.config_bytes = FitLine(bytes);
  slopes.config_read = FitLine(read);
  slopes.config_adopt = FitLine(adopt);
  slopes.config_memory = FitLine(memory);
  std::vector<Point> by_tokens;
  for (const json& row : Load(folder, "front")) {
    const json& result = row["result"];
    by_tokens.push_back({.x = row["tokens"],
                         .y = 1000 * result["cpu_seconds"].get<double>() /
                              result["completed"].get<double>()});
  }
  slopes.front_by_tokens = FitLine(by_tokens);
  std::vector<Point> idle_cpu;
  std::vector<Point> idle_bytes;
  std::vector<Point> reads;
  std::vector<Point> in_force;
  std::vector<Point> fleet_memory;
  for (const json& row : Load(folder, "fleet")) {
    const double x = row["instances"];
    idle_cpu.push_back({.x = x, .y = IdlePercent(row)});
    idle_bytes.push_back({.x = x, .y = IdleBytes(row)});
    reads.push_back({.x = x,
                     .y = row["idle"]["reads"].get<double>() /
                          (row["idle"]["milliseconds"].get<double>() / kKilo)});
    for (const json& time : row["in_force_ms"]) {
      in_force.push_back({.x = x, .y = time});
    }
    fleet_memory.push_back({.x = x, .y = row["memory_bytes"]});
    const json& loaded = row["loaded"];
    const double seconds = loaded["milliseconds"].get<double>() / kKilo;
    slopes.loaded_bytes_per_request =
        (loaded["bytes"].get<double>() - IdleBytes(row) * x * seconds) /
        loaded["completed"].get<double>();
  }
  slopes.fleet_idle_cpu = FitLine(idle_cpu);
  slopes.fleet_idle_bytes = FitLine(idle_bytes);
  slopes.fleet_reads = FitLine(reads);
  slopes.fleet_in_force = FitLine(in_force);
  slopes.fleet_memory = FitLine(fleet_memory);
  const json idle = Load(folder, "idle");
  slopes.idle_cpu = 100 * idle["cpu_ticks"].get<double>() /
                    idle["ticks_per_second"].get<double>() /
                    idle["seconds"].get<double>();
  slopes.idle_memory = idle["memory_bytes"].get<double>() / kMega;
  return slopes;
}

// One line of a Markdown table.
void Row(std::string& text, const std::vector<std::string>& cells) {
  for (const std::string& cell : cells) {
    text += "| " + cell + " ";
  }
  text += "|\n";
}

void SlopeRow(std::string& text, const std::string& what,
              const std::string& unit, const Line& line,
              const std::string& source) {
  Row(text, {what, unit, Number(line.intercept), Number(line.slope),
             Number(line.slope_error), source});
}

std::string SlopeTable(const Slopes& slopes) {
  std::string text = "## Measured slopes\n\n";
  Row(text, {"cost", "unit", "at 0", "slope", "standard error", "raw results"});
  Row(text, {"---", "---", "---", "---", "---", "---"});
  SlopeRow(text, "arrival, end and decision, by log2 of requests waiting",
           "us CPU", slopes.decision_by_log_waiting, "decision.json");
  SlopeRow(text, "the same, by log2 of engines", "us CPU",
           slopes.decision_by_log_engines, "decision.json");
  SlopeRow(text, "configuration's size, by customers", "bytes",
           slopes.config_bytes, "configuration.json");
  SlopeRow(text, "reading it, by customers", "ms CPU", slopes.config_read,
           "configuration.json");
  SlopeRow(text, "taking it over, by customers", "ms CPU", slopes.config_adopt,
           "configuration.json");
  SlopeRow(text, "memory while reading it, by customers", "bytes",
           slopes.config_memory, "configuration.json");
  SlopeRow(text, "a request through the front, by its tokens", "ms CPU",
           slopes.front_by_tokens, "front.json");
  SlopeRow(text, "an idle instance, by instances", "% of a core",
           slopes.fleet_idle_cpu, "fleet.json");
  SlopeRow(text, "bytes that an idle instance sends, by instances", "B/s",
           slopes.fleet_idle_bytes, "fleet.json");
  SlopeRow(text, "calls at the store and the list, idle, by instances", "1/s",
           slopes.fleet_reads, "fleet.json");
  SlopeRow(text, "from acceptance to in force, by instances", "ms",
           slopes.fleet_in_force, "fleet.json");
  SlopeRow(text, "memory of an instance, by instances", "bytes",
           slopes.fleet_memory, "fleet.json");
  text += "\nA granted request cost " +
          Number(slopes.loaded_bytes_per_request) +
          " bytes between instances at the largest fleet measured (fleet.json, "
          "averaged over all requests, of which some are scheduled where they "
          "arrive). One instance alone, idle: " +
          Number(slopes.idle_cpu) + "% of a core, " +
          Number(slopes.idle_memory) + " MB (idle.json).\n";
  return text;
}

std::string Verdict(double value, double budget) {
  return value <= budget ? "fits" : "DOES NOT FIT";
}

std::string TargetTable(const Slopes& slopes) {
  const double groups =
      kDataCentres * kModels *
      std::ceil(kEngines / kDataCentres / kModels / kGroupServers);
  const double busy = 2 * kRequests / groups;  // A node with two groups.
  const double decision =
      slopes.decision_by_log_waiting.At(std::log2(10000)) / kMega;
  const double scheduling = 100 * busy * decision;
  const double scheduling_bytes =
      busy * slopes.loaded_bytes_per_request / kKilo;
  const double config_bytes = slopes.config_bytes.At(kCustomers);
  const double change_cpu =
      100 * kChanges / kDay *
      (slopes.config_read.At(kCustomers) + slopes.config_adopt.At(kCustomers)) /
      kKilo;
  const double change_bytes = kChanges / kDay * config_bytes / kKilo;
  const double idle_bytes = slopes.fleet_idle_bytes.At(kNodes) / kKilo;
  const double idle_cpu = slopes.fleet_idle_cpu.At(kNodes);
  const double memory = slopes.fleet_memory.At(kNodes) / kMega;
  const double config_memory = slopes.config_memory.At(kCustomers) / kMega;
  const double claims = kRequests * kClaimShare;
  const double watches = kNodes / kWatchSeconds;
  const double change_reads = kChanges / kDay * kNodes;
  std::string text = "## At the target size\n\n";
  Row(text, {"role or mechanism", "figure", "budget", "verdict", "how"});
  Row(text, {"---", "---", "---", "---", "---"});
  const auto line = [&](const std::string& what, double value,
                        const std::string& unit, double budget,
                        const std::string& how) {
    Row(text, {what, Number(value) + " " + unit, Number(budget) + " " + unit,
               Verdict(value, budget), how});
  };
  line("links, idle: processor", idle_cpu, "%", kCpuBudget,
       "worked out from the fleet's slope; links to all nodes");
  line("links, idle: sent", idle_bytes, "KB/s", kBytesBudget,
       "worked out; heartbeats of 1 s near and 5 s far");
  line("scheduler of two busy groups: processor", scheduling, "%", kCpuBudget,
       "worked out from measured decisions, messages not included");
  line("scheduler of two busy groups: sent", scheduling_bytes, "KB/s",
       kBytesBudget, "worked out from bytes a request");
  line("configuration: processor", change_cpu, "%", kCpuBudget,
       "each node reads the whole configuration at each change");
  line("configuration: received", change_bytes, "KB/s", kBytesBudget,
       "the same; from the store, not from peers");
  line("configuration: one value", config_bytes / kMega, "MB",
       kValueLimit / kMega, "one value holds everything");
  line("memory: instance with all links", memory, "MB", kMemoryBudget,
       "worked out from the fleet's slope");
  line("memory: while a configuration is read", memory + config_memory, "MB",
       kMemoryBudget, "the same and the peak of reading");
  line("store: watches", watches, "calls/s", kReadBudget,
       "each node waits by itself; grows with the fleet");
  line("store and list: all idle calls", slopes.fleet_reads.At(kNodes),
       "calls/s", kReadBudget,
       "the fleet's slope: each node reads the list once a second");
  line("store: reads after changes, mean", change_reads, "calls/s", kReadBudget,
       "each node reads each change");
  line("store: claims", claims, "writes/s", 300,
       "one write a claim, at an assumed 5% of requests with a key");
  line("store: all watchers back at once", kNodes, "calls", kReadBudget,
       "after an outage, within about a second");
  line("change to in force", slopes.fleet_in_force.At(kNodes) / kKilo, "s", 10,
       "worked out; at the measured configuration of one customer");
  line("a morning of restarts: links made", kRestarts * kNodes / 4 / 3600,
       "1/s", 1000, "175 in four hours, each with a link to every node");
  text += "\nThe front's data path, which is not control: a node takes " +
          Number(kRequests / kNodes) + " requests and " +
          Number(kTokens / kNodes) + " tokens a second, " +
          Number(100 / kKilo *
                 (kRequests / kNodes * slopes.front_by_tokens.intercept +
                  kTokens / kNodes * slopes.front_by_tokens.slope)) +
          "% of a core at one event a token.\n";
  return text;
}

std::string Tables(const std::string& folder) {
  const Slopes slopes = Fit(folder);
  return SlopeTable(slopes) + "\n" + TargetTable(slopes);
}

std::string ReadAll(const std::string& file) {
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
  const std::string text = ReadAll(page);
  const std::size_t begin = text.find(kBegin);
  const std::size_t end = text.find(kEnd);
  if (begin == std::string::npos || end == std::string::npos) {
    std::cerr << page << " has no place for the tables\n";
    return 1;
  }
  const std::string made = text.substr(0, begin) + kBegin + "\n" +
                           Tables(folder) + "\n" + text.substr(end);
  if (check && made != text) {
    std::cerr << page << " differs from its raw results\n";
    return 1;
  }
  if (!check) {
    std::ofstream(page) << made;
  }
  return 0;
}

}  // namespace rosemarycove::bench

int main(int argc, char** argv) {
  return rosemarycove::bench::Main(argc, argv);
}
