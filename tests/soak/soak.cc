// Runs gateways as separate processes against stand-ins for the store, the
// servers and the callers, and disturbs them in a series that a seed gives.
// Prints the seed, the series and each broken promise with the log lines of its
// request. The exit status is 1 if a promise was broken.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <list>
#include <memory>
#include <random>
#include <thread>
#include <utility>

#include "platform/standins/raw_server.h"
#include "platform/standins/store_standin.h"
#include "tests/soak/gateway_process.h"
#include "tests/soak/promises.h"

namespace rosemarycove::soak {
namespace {

using platform::HeaderValue;
using platform::RawConnection;
using platform::RawServer;
using platform::StoreFault;
using platform::StoreStandin;
using std::chrono::milliseconds;

// Time after SIGTERM at which a gateway must have ended.
constexpr auto kGrace = milliseconds(8000);
// How long a server that leaves goes on, and how long a caller waits at most.
constexpr auto kServerLinger = milliseconds(5000);
constexpr auto kSilence = milliseconds(8000);
constexpr auto kTick = milliseconds(10);

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}
  int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(this->engine);
  }
  milliseconds Between(int least_ms, int most_ms) {
    return milliseconds(least_ms + this->Below(most_ms - least_ms + 1));
  }

 private:
  std::mt19937_64 engine;
};

// A backend server that answers with the request's id, mostly.
class SoakServer {
 public:
  SoakServer(std::string name, std::string service_name, std::uint64_t seed,
             Promises& promises)
      : id(std::move(name)),
        service(std::move(service_name)),
        promises(promises),
        random(seed),
        server([this](RawConnection& connection) { this->Serve(connection); }) {
  }

  [[nodiscard]] std::string Registration(const std::string& state) const {
    return fmt::format(
        R"({{"service":"{}","address":"{}","zone":"here","version":"v1",)"
        R"("slots":16,"state":"{}","born":1,"cold_left_ms":0,"seq":1}})",
        this->service, this->server.address(), state);
  }

  const std::string id;
  const std::string service;
  bool is_draining = false;
  // When the process ends, once it leaves.
  std::optional<Clock::time_point> ends_at;

 private:
  // What the server does with a request.
  enum class Reaction : std::uint8_t {
    kResponds,
    kRefuses,       // Says that it did not run the request.
    kCloses,        // Runs it and closes the connection without a response.
    kRunsAndResets  // The same with a reset.
  };

  void Serve(RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      const std::string request_id =
          HeaderValue(*request, "Rosemarycove-Request-Id");
      const auto [reaction, delay] = this->ChooseReaction();
      if (reaction != Reaction::kRefuses) {
        this->promises.OnRun(request_id, this->id);
      }
      std::this_thread::sleep_for(delay);
      switch (reaction) {
        case Reaction::kResponds:
          connection.Send(Response(request_id, "200 OK", ""));
          break;
        case Reaction::kRefuses:
          connection.Send(Response(request_id, "503 Full",
                                   "Rosemarycove-Not-Executed: 1\r\n"));
          break;
        case Reaction::kCloses:
          return;
        case Reaction::kRunsAndResets:
          connection.Reset();
          return;
      }
    }
  }

  std::pair<Reaction, milliseconds> ChooseReaction() {
    constexpr int kFaultOneIn = 200;
    constexpr int kUsualMilliseconds = 20;
    constexpr int kSlowMilliseconds = 700;
    constexpr int kSlowOneIn = 20;
    const std::lock_guard lock(this->mutex);
    const milliseconds delay = this->random.Between(
        1, this->random.Below(kSlowOneIn) == 0 ? kSlowMilliseconds
                                               : kUsualMilliseconds);
    constexpr std::array kFaults{Reaction::kRefuses, Reaction::kCloses,
                                 Reaction::kRunsAndResets};
    const auto fault =
        static_cast<std::size_t>(this->random.Below(kFaultOneIn));
    return {fault < kFaults.size() ? kFaults.at(fault) : Reaction::kResponds,
            delay};
  }

  static std::string Response(const std::string& request_id,
                              const std::string& status,
                              const std::string& extra_fields) {
    const std::string body = "done " + request_id;
    return fmt::format(
        "HTTP/1.1 {}\r\nRosemarycove-Request-Id: {}\r\n"
        "Rosemarycove-Server-Seal: seal\r\n{}Content-Length: {}\r\n\r\n{}",
        status, request_id, extra_fields, body.size(), body);
  }

  Promises& promises;
  std::mutex mutex;
  Random random;
  RawServer server;
};

// A caller that uses each connection until the gateway closes it.
class Caller {
 public:
  Caller(int number, std::uint64_t seed, std::vector<GatewayProcess*> gateways,
         Promises& promises)
      : number(number),
        random(seed),
        gateways(std::move(gateways)),
        promises(promises),
        thread([this] { this->Run(); }) {}
  ~Caller() {
    this->Stop();
    this->thread.join();
  }

  // Ends the caller after its current request.
  void Stop() { this->is_stopping = true; }
  [[nodiscard]] bool is_done() const { return this->has_ended; }

  // Ends the wait for a response that is overdue.
  void GiveUpIfSilent() {
    const std::lock_guard lock(this->mutex);
    if (this->pending && Clock::now() - this->pending->sent_at > kSilence) {
      this->promises.OnSilence(*this->pending);
      this->pending.reset();
      this->connection->Shutdown();
    }
  }

 private:
  void Run() {
    constexpr auto kRetryDelay = milliseconds(30);
    while (!this->is_stopping) {
      const GatewayProcess& gateway = *this->gateways[static_cast<std::size_t>(
          this->random.Below(static_cast<int>(this->gateways.size())))];
      auto opened = RawConnection::Connect(gateway.caller_port());
      if (!opened) {
        std::this_thread::sleep_for(kRetryDelay);
        continue;
      }
      {
        const std::lock_guard lock(this->mutex);
        this->connection = std::move(opened);
      }
      while (!this->is_stopping && this->SendOne(gateway.name())) {
        std::this_thread::sleep_for(this->random.Between(0, 20));
      }
    }
    this->has_ended = true;
  }

  // Returns whether the connection can be used again.
  bool SendOne(const std::string& instance) {
    constexpr int kRevokedKeyOneIn = 10;
    // Time within which the reset arrives that follows the end of a connection
    // with unread bytes.
    constexpr auto kResetDelay = milliseconds(30);
    const bool is_repeatable = this->random.Below(2) == 0;
    std::string key = this->random.Below(kRevokedKeyOneIn) == 0
                          ? this->promises.RevokedKey()
                          : "";
    if (key.empty()) {
      key = this->promises.GoodKey();
    }
    SentRequest request{
        .id = fmt::format("c{}r{}", this->number, this->sent_count++),
        .instance = instance,
        .is_repeatable = is_repeatable,
        .key = key,
        .sent_at = Clock::now()};
    this->SetPending(request);
    const bool was_sent = this->connection->Send(
        fmt::format("POST /{}/x HTTP/1.1\r\nHost: site.example\r\n"
                    "Rosemarycove-Request-Id: {}\r\nAuthorization: Token {}\r\n"
                    "Rosemarycove-Deadline-Ms: 4000\r\nContent-Length: 0\r\n"
                    "\r\n",
                    is_repeatable ? "again" : "once", request.id, key));
    const auto response =
        was_sent ? this->connection->ReadMessage() : std::nullopt;
    if (!this->SetPending(std::nullopt) || !was_sent) {
      return false;
    }
    if (!response) {
      // A reset follows if the request had not been read; nothing can be sent
      // after it.
      std::this_thread::sleep_for(kResetDelay);
      this->promises.OnConnectionEnd(request, this->connection->Send("x")
                                                  ? ConnectionEnd::kAfterReading
                                                  : ConnectionEnd::kUnread);
      return false;
    }
    const std::size_t status_at = response->find(' ') + 1;
    this->promises.OnResponse(request, std::atoi(response->c_str() + status_at),
                              HeaderValue(*response, "Rosemarycove-Request-Id"),
                              response->substr(response->find("\r\n\r\n") + 4));
    return HeaderValue(*response, "Connection") != "close";
  }

  // Returns whether a request was pending before.
  bool SetPending(std::optional<SentRequest> request) {
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->pending, std::move(request)).has_value();
  }

  int number;
  int sent_count = 0;
  Random random;
  std::vector<GatewayProcess*> gateways;
  Promises& promises;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> has_ended = false;
  // Guards the members below against GiveUpIfSilent.
  std::mutex mutex;
  std::unique_ptr<RawConnection> connection;
  std::optional<SentRequest> pending;
  // The last member, because it uses all others.
  std::thread thread;
};

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 60;
  int gateways = 3;
  int callers = 16;
  std::string program = "build/rosemarycove";
  std::string folder;
};

// The fleet, and the series of faults.
class Soak {
 public:
  explicit Soak(SoakOptions soak_options)
      : options(std::move(soak_options)), random(this->options.seed) {}

  bool Run() {
    this->PutConfiguration();
    for (const char* service : {"orders", "stock", "orders", "stock"}) {
      this->AddServer(service);
    }
    this->StartGateways();
    std::list<Caller> callers;
    std::vector<GatewayProcess*> processes;
    for (Instance& instance : this->instances) {
      processes.push_back(instance.process.get());
    }
    for (int i = 0; i < this->options.callers; ++i) {
      callers.emplace_back(i, this->options.seed + static_cast<unsigned>(i),
                           processes, this->promises);
    }
    const auto end =
        this->started_at + std::chrono::seconds(this->options.seconds);
    auto next_event = Clock::now() + milliseconds(1000);
    while (Clock::now() < end) {
      std::this_thread::sleep_for(kTick);
      this->Advance();
      for (Caller& caller : callers) {
        caller.GiveUpIfSilent();
      }
      if (Clock::now() >= next_event) {
        this->StartEvent();
        next_event = Clock::now() + this->random.Between(50, 2500);
      }
    }
    this->store.SetFault(StoreFault::kNone);
    for (Instance& instance : this->instances) {
      instance.process->Signal(SIGCONT);
    }
    for (Caller& caller : callers) {
      caller.Stop();
    }
    for (Caller& caller : callers) {
      while (!caller.is_done()) {
        caller.GiveUpIfSilent();
        std::this_thread::sleep_for(kTick);
      }
    }
    callers.clear();
    return this->PrintResult();
  }

 private:
  enum class State : std::uint8_t { kRunning, kStopping, kPaused, kEnded };
  struct Instance {
    std::unique_ptr<GatewayProcess> process;
    State state = State::kRunning;
    // When the state ends: for kStopping the latest, otherwise the exact time.
    Clock::time_point until;
  };

  void Log(const std::string& text) const {
    std::cout << fmt::format("{:8.3f} s  {}\n",
                             std::chrono::duration<double>(Clock::now() -
                                                           this->started_at)
                                 .count(),
                             text)
              << std::flush;
  }

  void StartGateways() {
    const std::vector<int> ports = FindFreePorts(3 * this->options.gateways);
    std::vector<int> peer_ports;
    for (std::size_t i = 2; i < ports.size(); i += 3) {
      peer_ports.push_back(ports[i]);
    }
    for (std::size_t i = 0; i + 2 < ports.size(); i += 3) {
      this->instances.push_back(
          {.process = std::make_unique<GatewayProcess>(
               this->options.program, this->options.folder,
               fmt::format("g{}", i / 3),
               GatewayPorts{.callers = ports[i],
                            .status = ports[i + 1],
                            .peers = ports[i + 2]})});
      GatewayProcess& process = *this->instances.back().process;
      process.WriteSettings(this->store.address(), peer_ports);
      process.Start();
    }
    for (const Instance& instance : this->instances) {
      const auto limit = Clock::now() + std::chrono::seconds(20);
      while (!instance.process->IsReady() && Clock::now() < limit) {
        std::this_thread::sleep_for(kTick);
      }
    }
  }

  void PutConfiguration() {
    ++this->version;
    const std::string key = fmt::format("key-{}", this->version);
    this->configuration = fmt::format(
        R"({{"version":{0},"routes":[)"
        R"({{"name":"once","hostname":"site.example","path_prefix":"/once/",)"
        R"("type":"unsafe","timeout_ms":2000,"slo_ms":100,"priority":2,)"
        R"("service":"orders","attempts":2,"public":false}},)"
        R"({{"name":"again","hostname":"site.example",)"
        R"("path_prefix":"/again/","type":"safe","timeout_ms":2000,)"
        R"("slo_ms":500,"priority":2,"service":"stock","attempts":2,)"
        R"("public":false}}],"services":[{{"name":"orders","max_conns":64}},)"
        R"({{"name":"stock","max_conns":64}}],)"
        R"("limits":{{"max_header_bytes":4096,"max_body_bytes":65536,)"
        R"("header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[)"
        R"({{"name":"customer-1","api_keys":["key-{0}","key-{1}"]}}]}})",
        this->version, this->version - 1);
    this->store.Put("op/config", this->configuration);
    this->promises.OnConfiguration(key);
  }

  void AddServer(const std::string& service) {
    const int number = ++this->server_count;
    this->servers.push_back(std::make_unique<SoakServer>(
        fmt::format("s{}", number), service,
        this->options.seed * 1000 + static_cast<unsigned>(number),
        this->promises));
    const SoakServer& server = *this->servers.back();
    this->store.Put("servers/" + server.id, server.Registration("ready"));
  }

  // Writes again what the operator and the servers hold.
  void WriteAgain() {
    this->store.Put("op/config", this->configuration);
    for (const auto& server : this->servers) {
      if (!server->ends_at) {
        this->store.Put("servers/" + server->id, server->Registration("ready"));
      } else if (server->is_draining) {
        this->store.Put("servers/" + server->id,
                        server->Registration("draining"));
      } else {
        this->store.Remove("servers/" + server->id);
      }
    }
  }

  void StartEvent() {
    constexpr int kKinds = 8;
    switch (this->random.Below(kKinds)) {
      case 0:
        this->StopOne(SIGTERM);
        break;
      case 1:
        this->StopOne(SIGKILL);
        break;
      case 2:
        this->StopOne(SIGSTOP);
        break;
      case 3:
        this->PutConfiguration();
        this->Log(fmt::format("configuration {}", this->version));
        break;
      case 4:
        this->ReplaceServer(true);
        break;
      case 5:
        this->ReplaceServer(false);
        break;
      case 6:
        this->DisturbStore();
        break;
      default:
        this->store.SaveCopy();
        this->restore_at = Clock::now() + this->random.Between(200, 3000);
        this->Log("the store makes the copy from which it will come back");
    }
  }

  // At least one instance goes on.
  void StopOne(int signal_number) {
    std::vector<Instance*> running;
    for (Instance& instance : this->instances) {
      if (instance.state == State::kRunning) {
        running.push_back(&instance);
      }
    }
    if (running.size() < 2) {
      return;
    }
    Instance& instance = *running[static_cast<std::size_t>(
        this->random.Below(static_cast<int>(running.size())))];
    this->Log(fmt::format("{} to {}", strsignal(signal_number),
                          instance.process->name()));
    if (signal_number == SIGKILL) {
      this->promises.OnKill(instance.process->name());
    }
    instance.process->Signal(signal_number);
    if (signal_number == SIGTERM) {
      instance.state = State::kStopping;
      instance.until = Clock::now() + kGrace;
    } else if (signal_number == SIGSTOP) {
      instance.state = State::kPaused;
      instance.until = Clock::now() + this->random.Between(100, 2000);
    } else {
      instance.process->Wait(milliseconds(2000));
      this->promises.OnKilled(instance.process->name());
      instance.state = State::kEnded;
      instance.until = Clock::now() + this->random.Between(0, 1500);
    }
  }

  void ReplaceServer(bool announces) {
    std::vector<SoakServer*> candidates;
    for (const auto& server : this->servers) {
      if (!server->ends_at) {
        candidates.push_back(server.get());
      }
    }
    SoakServer& server = *candidates[static_cast<std::size_t>(
        this->random.Below(static_cast<int>(candidates.size())))];
    this->AddServer(server.service);
    server.is_draining = announces;
    server.ends_at = Clock::now() + kServerLinger;
    if (announces) {
      this->store.Put("servers/" + server.id, server.Registration("draining"));
    } else {
      this->store.Remove("servers/" + server.id);
    }
    this->promises.OnServerLeaves(server.id);
    this->Log(fmt::format("{} {}, {} begins", server.id,
                          announces ? "drains" : "is removed",
                          this->servers.back()->id));
  }

  void DisturbStore() {
    constexpr std::array kFaults{StoreFault::kUnavailable, StoreFault::kReset,
                                 StoreFault::kHistoryGone};
    const int fault = this->random.Below(static_cast<int>(kFaults.size()));
    this->store.SetFault(kFaults.at(static_cast<std::size_t>(fault)));
    this->store_disturbed_until =
        Clock::now() + this->random.Between(300, 4000);
    this->Log(fmt::format("the store has fault {}", fault));
  }

  // Ends what has a time, and looks after the processes.
  void Advance() {
    const auto now = Clock::now();
    if (this->store_disturbed_until) {
      this->promises.OnDisturbance();
      if (now >= *this->store_disturbed_until) {
        this->store.SetFault(StoreFault::kNone);
        this->store_disturbed_until.reset();
        this->Log("the store has no fault");
      }
    }
    if (this->restore_at && now >= *this->restore_at) {
      this->store.RestoreCopy();
      this->restore_at.reset();
      this->write_again_at = now + this->random.Between(100, 1500);
      this->Log("the store comes back from the copy");
    }
    if (this->write_again_at) {
      this->promises.OnDisturbance();
      if (now >= *this->write_again_at) {
        this->WriteAgain();
        this->write_again_at.reset();
      }
    }
    for (Instance& instance : this->instances) {
      this->AdvanceInstance(instance, now);
    }
    for (auto item = this->servers.begin(); item != this->servers.end();) {
      if ((*item)->ends_at && now >= *(*item)->ends_at) {
        this->store.Remove("servers/" + (*item)->id);
        item = this->servers.erase(item);
      } else {
        ++item;
      }
    }
  }

  void AdvanceInstance(Instance& instance, Clock::time_point now) {
    GatewayProcess& process = *instance.process;
    if (instance.state == State::kEnded) {
      if (now >= instance.until) {
        process.Start();
        instance.state = State::kRunning;
        this->Log(process.name() + " starts");
      }
      this->promises.OnDisturbance();
      return;
    }
    if (instance.state == State::kPaused) {
      this->promises.OnDisturbance();
      if (now >= instance.until) {
        process.Signal(SIGCONT);
        instance.state = State::kRunning;
        this->Log(process.name() + " goes on");
      }
      return;
    }
    const auto ended = process.Wait(milliseconds(0));
    if (!ended) {
      if (instance.state == State::kStopping && now > instance.until) {
        this->promises.Report(process.name() + " outlasts its grace");
        this->promises.OnKill(process.name());
        process.Signal(SIGKILL);
        instance.until = now + kGrace;
      }
      return;
    }
    if (*ended == -SIGKILL) {
      this->promises.OnKilled(process.name());
    }
    if (instance.state == State::kRunning || *ended != 0) {
      this->promises.Report(
          fmt::format("{} ended with status {}", process.name(), *ended));
    }
    this->Log(process.name() + " has ended");
    instance.state = State::kEnded;
    instance.until = now + this->random.Between(0, 1500);
  }

  bool PrintResult() {
    for (const auto& [status, count] : this->promises.response_counts()) {
      std::cout << fmt::format("{} responses with status {}\n", count, status);
    }
    const std::vector<BrokenPromise> broken = this->promises.broken();
    for (const BrokenPromise& promise : broken) {
      std::cout << "BROKEN: " << promise.request << " " << promise.what << "\n";
    }
    if (!broken.empty() && !broken.front().request.empty()) {
      for (const Instance& instance : this->instances) {
        for (const std::string& line : instance.process->LogLinesWith(
                 "\"" + broken.front().request + "\"")) {
          std::cout << "  " << instance.process->name() << " " << line << "\n";
        }
      }
    }
    std::cout << fmt::format("seed {}: {} promises broken\n",
                             this->options.seed, broken.size());
    return broken.empty();
  }

  SoakOptions options;
  Random random;
  Clock::time_point started_at = Clock::now();
  Promises promises;
  StoreStandin store;
  std::list<std::unique_ptr<SoakServer>> servers;
  std::vector<Instance> instances;
  int version = 0;
  int server_count = 0;
  std::string configuration;
  std::optional<Clock::time_point> store_disturbed_until;
  std::optional<Clock::time_point> restore_at;
  std::optional<Clock::time_point> write_again_at;
};

}  // namespace
}  // namespace rosemarycove::soak

int main(int argc, char** argv) {
  using namespace rosemarycove::soak;  // NOLINT
  SoakOptions options;
  CLI::App app{"Runs gateways under a series of faults and checks them"};
  app.add_option("--seed", options.seed, "Gives the series of faults");
  app.add_option("--seconds", options.seconds, "Length of the run")
      ->check(CLI::Range(1, 3600));
  app.add_option("--gateways", options.gateways, "Number of instances")
      ->check(CLI::Range(1, 30));
  app.add_option("--callers", options.callers, "Number of callers")
      ->check(CLI::Range(1, 500));
  app.add_option("--program", options.program, "The gateway's program")
      ->check(CLI::ExistingFile);
  app.add_option("--folder", options.folder,
                 "New folder for the settings and logs");
  CLI11_PARSE(app, argc, argv);
  if (options.folder.empty()) {
    options.folder =
        std::filesystem::temp_directory_path() /
        fmt::format("rosemarycove-soak-{}-{}", options.seed, ::getpid());
  }
  if (!std::filesystem::create_directories(options.folder)) {
    std::cerr << options.folder << " exists or can't be made\n";
    return 2;
  }
  std::cout << fmt::format("seed {}, logs in {}\n", options.seed,
                           options.folder);
  std::signal(SIGPIPE, SIG_IGN);
  return Soak(options).Run() ? 0 : 1;
}
