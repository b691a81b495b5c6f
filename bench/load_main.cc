// Sends chat requests to a router or an engine on a schedule, and reports
// latencies and outcomes. Latency counts from the scheduled time, so a slow
// answer doesn't hide the delay of the requests after it.
#include <httplib.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rosemarycove::bench {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

// Range of the latency histograms.
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 1e3;
constexpr unsigned kBins = 4000;
constexpr double kPi = 3.14159265358979323846;

using TimeAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using TimeHistogram =
    decltype(boost::histogram::make_histogram(TimeAxis(2, 1, 2)));

// What to send, to which targets and at which rate.
struct LoadSettings {
  // Used in turn. If one refuses, the request goes to the next.
  std::vector<std::string> targets = {"127.0.0.1:8080"};
  std::string key;
  std::string request_class;
  std::string model = "m";
  int tokens = 20;
  int streams = 50;     // Maximum number of requests in flight.
  int requests = 1000;  // Number of requests; only if rate is 0.
  double rate = 0;      // Requests per second; 0 keeps all streams busy.
  double seconds = 10;  // Length of the run; only with a rate.
  // Amplitude of the daily curve, as a fraction of the rate.
  double swing = 0;
  std::uint32_t seed = 1;
  // Process whose CPU time and memory are reported; 0 for none.
  int pid = 0;
};

// Latencies in seconds and outcomes of the requests.
struct LoadReport {
  TimeHistogram first_token{TimeAxis(kBins, kMinSeconds, kMaxSeconds)};
  TimeHistogram whole_answer{TimeAxis(kBins, kMinSeconds, kMaxSeconds)};
  std::uint64_t completed = 0;
  // Requests that were accepted but not answered completely.
  std::uint64_t interrupted = 0;
  // Requests that no target accepted.
  std::uint64_t refused = 0;
  // Body chunks received of the completed requests.
  std::uint64_t chunks = 0;
};

// Returns the time, in seconds, that a fraction of the entries doesn't exceed;
// 0 without entries.
double Quantile(const TimeHistogram& histogram, double fraction) {
  double total = 0;
  for (const auto& bin : boost::histogram::indexed(histogram)) {
    total += *bin;
  }
  double cumulative = 0;
  for (const auto& bin : boost::histogram::indexed(histogram)) {
    cumulative += *bin;
    if (cumulative >= fraction * total && total > 0) {
      return bin.bin().center();
    }
  }
  return 0;
}

// CPU time that a process has used so far, and its resident memory.
struct ProcessUsage {
  double cpu_seconds = 0;
  double memory_bytes = 0;
};

// Returns zeros if there is no such process. See proc(5) for the fields.
ProcessUsage ReadProcessUsage(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(file, line);
  if (line.empty()) {
    return {};
  }
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  for (int i = 0; i < 8; ++i) {
    fields >> skipped;
  }
  double pages = 0;
  fields >> pages;
  return {.cpu_seconds =
              (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
          .memory_bytes = pages * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

// Sends the scheduled requests from one thread per stream. Each thread takes
// the next request of the schedule.
class LoadRun {
 public:
  explicit LoadRun(LoadSettings settings) : settings(std::move(settings)) {
    this->MakeSchedule();
  }

  json Run() {
    const ProcessUsage before = ReadProcessUsage(this->settings.pid);
    this->start = Clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(this->settings.streams));
    for (int i = 0; i < this->settings.streams; ++i) {
      threads.emplace_back([this] { this->SendRequests(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const double elapsed =
        std::chrono::duration<double>(Clock::now() - this->start).count();
    return this->MakeReport(before, ReadProcessUsage(this->settings.pid),
                            elapsed);
  }

 private:
  void MakeSchedule() {
    if (this->settings.rate <= 0) {
      this->schedule.assign(static_cast<std::size_t>(this->settings.requests),
                            -1);
      return;
    }
    std::mt19937 random(this->settings.seed);
    double at = 0;
    while (at < this->settings.seconds) {
      // One period of the daily curve spans the run.
      const double curve =
          1 + this->settings.swing *
                  std::sin(2 * kPi * at / this->settings.seconds);
      std::exponential_distribution<double> gap(this->settings.rate * curve);
      at += gap(random);
      this->schedule.push_back(at);
    }
  }

  void SendRequests() {
    std::vector<std::unique_ptr<httplib::Client>> clients;
    clients.reserve(this->settings.targets.size());
    for (const std::string& target : this->settings.targets) {
      clients.push_back(std::make_unique<httplib::Client>("http://" + target));
      clients.back()->set_keep_alive(this->settings.targets.size() == 1);
      clients.back()->set_tcp_nodelay(true);
      clients.back()->set_read_timeout(std::chrono::seconds(120));
    }
    while (true) {
      const std::size_t index = this->next_index++;
      if (index >= this->schedule.size()) {
        return;
      }
      Clock::time_point due = Clock::now();
      if (this->schedule[index] >= 0) {
        due = this->start +
              std::chrono::duration_cast<Clock::duration>(
                  std::chrono::duration<double>(this->schedule[index]));
        std::this_thread::sleep_until(due);
      }
      // If a target refuses, the request goes to the next one.
      bool accepted = false;
      for (std::size_t i = 0; i < clients.size() && !accepted; ++i) {
        accepted = this->Send(*clients[(index + i) % clients.size()], due);
      }
      if (!accepted) {
        const std::lock_guard lock(this->mutex);
        ++this->report.refused;
      }
    }
  }

  httplib::Request MakeRequest() const {
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"X-Request-Id", "load"}};
    if (!this->settings.key.empty()) {
      request.headers.emplace("Authorization", "Bearer " + this->settings.key);
    }
    if (!this->settings.request_class.empty()) {
      request.headers.emplace("X-Request-Class", this->settings.request_class);
    }
    request.body =
        json{{"model", this->settings.model},
             {"stream", true},
             {"max_tokens", this->settings.tokens},
             {"messages",
              {{{"role", "user"}, {"content", "How long is the rope?"}}}}}
            .dump();
    return request;
  }

  // Sends a request. Returns false if the target didn't accept it.
  bool Send(httplib::Client& client, Clock::time_point due) {
    httplib::Request request = this->MakeRequest();
    std::uint64_t chunks = 0;
    int status = 0;
    bool done = false;
    Clock::time_point first;
    request.response_handler = [&](const httplib::Response& response) {
      status = response.status;
      return true;
    };
    request.content_receiver = [&](const char* data, size_t size, std::uint64_t,
                                   std::uint64_t) {
      if (chunks++ == 0) {
        first = Clock::now();
      }
      done = done || std::string_view(data, size).find("[DONE]") !=
                         std::string_view::npos;
      return true;
    };
    const httplib::Result result = client.send(request);
    const Clock::time_point end = Clock::now();
    if (status == 0 || status == 503) {
      return false;
    }
    const std::lock_guard lock(this->mutex);
    if (result && status == 200 && done) {
      ++this->report.completed;
      this->report.chunks += chunks;
      this->report.first_token(
          std::chrono::duration<double>(first - due).count());
      this->report.whole_answer(
          std::chrono::duration<double>(end - due).count());
    } else {
      ++this->report.interrupted;
    }
    return true;
  }

  json MakeReport(const ProcessUsage& before, const ProcessUsage& after,
                  double elapsed) const {
    const auto quantiles_ms = [](const TimeHistogram& histogram) {
      return json{{"p50", 1000 * Quantile(histogram, 0.5)},
                  {"p95", 1000 * Quantile(histogram, 0.95)},
                  {"p99", 1000 * Quantile(histogram, 0.99)}};
    };
    json result = {{"completed", this->report.completed},
                   {"cut", this->report.interrupted},
                   {"refused", this->report.refused},
                   {"chunks", this->report.chunks},
                   {"seconds", elapsed},
                   {"first_token_ms", quantiles_ms(this->report.first_token)},
                   {"whole_ms", quantiles_ms(this->report.whole_answer)}};
    if (this->settings.pid != 0) {
      result["cpu_seconds"] = after.cpu_seconds - before.cpu_seconds;
      result["memory_bytes"] = after.memory_bytes;
    }
    return result;
  }

  LoadSettings settings;
  // Times to send at, in seconds from the start; negative to send at once.
  std::vector<double> schedule;
  std::atomic<std::size_t> next_index = 0;
  Clock::time_point start;
  std::mutex mutex;
  LoadReport report;
};

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app("Sends chat requests by schedule and reports the answers");
  LoadSettings settings;
  app.add_option("--target", settings.targets,
                 "HOST:PORT; several are used in turn")
      ->capture_default_str();
  app.add_option("--key", settings.key, "Customer's key");
  app.add_option("--class", settings.request_class, "Request class");
  app.add_option("--model", settings.model, "Model")->capture_default_str();
  app.add_option("--tokens", settings.tokens, "Tokens of an answer")
      ->capture_default_str();
  app.add_option("--streams", settings.streams, "Requests in flight at most")
      ->check(CLI::Range(1, 2000))
      ->capture_default_str();
  app.add_option("--requests", settings.requests,
                 "Requests to send when no rate is given");
  app.add_option("--rate", settings.rate, "Requests a second, by schedule");
  app.add_option("--seconds", settings.seconds, "Length with a rate");
  app.add_option("--swing", settings.swing, "Daily curve, 0 to 1")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--seed", settings.seed, "Seed of the schedule");
  app.add_option("--pid", settings.pid,
                 "Process whose processor time is reported");
  CLI11_PARSE(app, argc, argv);
  std::printf("%s\n", LoadRun(settings).Run().dump(1).c_str());
  return 0;
}

}  // namespace rosemarycove::bench

int main(int argc, char** argv) {
  return rosemarycove::bench::Main(argc, argv);
}
