// Sends chat requests to a router or an engine by schedule, and reports what
// came back. Latency counts from the scheduled time, so that a slow answer
// does not hide the requests behind it.
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

constexpr double kShortest = 1e-5;  // Seconds.
constexpr double kLongest = 1e3;    // Seconds.
constexpr unsigned kBins = 4000;
constexpr double kPi = 3.14159265358979323846;

using TimeAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using TimeHistogram =
    decltype(boost::histogram::make_histogram(TimeAxis(2, 1, 2)));

// What to send, where, and how fast.
struct LoadSettings {
  // Used in turn, as a balancer would; one that refuses is passed over.
  std::vector<std::string> targets = {"127.0.0.1:8080"};
  std::string key;
  std::string request_class;
  std::string model = "m";
  int tokens = 20;
  int streams = 50;     // Requests in flight at most.
  int requests = 1000;  // Without a rate.
  double rate = 0;      // Requests a second; 0 keeps all streams busy.
  double seconds = 10;  // With a rate.
  double swing = 0;     // Part of the rate that a daily curve adds and takes.
  std::uint32_t seed = 1;
  int pid = 0;
};

// What the answers showed.
struct LoadReport {
  TimeHistogram first_token{TimeAxis(kBins, kShortest, kLongest)};
  TimeHistogram whole{TimeAxis(kBins, kShortest, kLongest)};
  std::uint64_t completed = 0;
  // The answer began and did not end as it should.
  std::uint64_t cut = 0;
  // No target took the request.
  std::uint64_t refused = 0;
  std::uint64_t chunks = 0;
};

// Time below which the share of entries lies, in seconds.
double Quantile(const TimeHistogram& histogram, double share) {
  double total = 0;
  for (const auto& bin : boost::histogram::indexed(histogram)) {
    total += *bin;
  }
  double seen = 0;
  for (const auto& bin : boost::histogram::indexed(histogram)) {
    seen += *bin;
    if (seen >= share * total && total > 0) {
      return bin.bin().center();
    }
  }
  return 0;
}

// Processor seconds that a process has used, and its resident bytes.
struct ProcessUse {
  double cpu = 0;
  double memory = 0;
};

ProcessUse UseOf(int pid) {
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
  return {.cpu = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
          .memory = pages * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

// Sends requests from several threads.
class LoadRun {
 public:
  explicit LoadRun(LoadSettings settings) : settings(std::move(settings)) {
    this->MakeSchedule();
  }

  json Run() {
    const ProcessUse before = UseOf(this->settings.pid);
    this->start = Clock::now();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(this->settings.streams));
    for (int i = 0; i < this->settings.streams; ++i) {
      threads.emplace_back([this] { this->Work(); });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const double elapsed =
        std::chrono::duration<double>(Clock::now() - this->start).count();
    return this->Report(before, UseOf(this->settings.pid), elapsed);
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
      // One day's curve is laid over the run.
      const double curve =
          1 + this->settings.swing *
                  std::sin(2 * kPi * at / this->settings.seconds);
      std::exponential_distribution<double> gap(this->settings.rate * curve);
      at += gap(random);
      this->schedule.push_back(at);
    }
  }

  void Work() {
    std::vector<std::unique_ptr<httplib::Client>> clients;
    clients.reserve(this->settings.targets.size());
    for (const std::string& target : this->settings.targets) {
      clients.push_back(std::make_unique<httplib::Client>("http://" + target));
      clients.back()->set_keep_alive(this->settings.targets.size() == 1);
      clients.back()->set_tcp_nodelay(true);
      clients.back()->set_read_timeout(std::chrono::seconds(120));
    }
    while (true) {
      const std::size_t index = this->next++;
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
      // A target that refuses is passed over for the next.
      bool taken = false;
      for (std::size_t i = 0; i < clients.size() && !taken; ++i) {
        taken = this->Send(*clients[(index + i) % clients.size()], due);
      }
      if (!taken) {
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

  // Sends one request; false when the target did not take it.
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
      this->report.whole(std::chrono::duration<double>(end - due).count());
    } else {
      ++this->report.cut;
    }
    return true;
  }

  json Report(const ProcessUse& before, const ProcessUse& after,
              double elapsed) const {
    const auto milliseconds = [](const TimeHistogram& histogram) {
      return json{{"p50", 1000 * Quantile(histogram, 0.5)},
                  {"p95", 1000 * Quantile(histogram, 0.95)},
                  {"p99", 1000 * Quantile(histogram, 0.99)}};
    };
    json result = {{"completed", this->report.completed},
                   {"cut", this->report.cut},
                   {"refused", this->report.refused},
                   {"chunks", this->report.chunks},
                   {"seconds", elapsed},
                   {"first_token_ms", milliseconds(this->report.first_token)},
                   {"whole_ms", milliseconds(this->report.whole)}};
    if (this->settings.pid != 0) {
      result["cpu_seconds"] = after.cpu - before.cpu;
      result["memory_bytes"] = after.memory;
    }
    return result;
  }

  LoadSettings settings;
  std::vector<double> schedule;  // Seconds from the start; below 0 at once.
  std::atomic<std::size_t> next = 0;
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
