// Properties of the data path over sockets while backend servers write
// responses that belong to no request, break off and reset connections.
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr int kFirstSeed = 1;
constexpr int kLastSeed = 6;
constexpr int kServers = 24;
constexpr int kCallers = 4;
constexpr int kRequestsPerCaller = 60;
// Callers use few ids, so that the same one comes again on a connection.
constexpr int kIds = 40;
constexpr int kRepeatableAttempts = 2;
constexpr int kDeadlineMs = 100;

using Random = std::mt19937;

bool Chance(Random& random, double probability) {
  return std::bernoulli_distribution(probability)(random);
}

std::string PathOf(const std::string& request) {
  const std::size_t start = request.find(' ') + 1;
  return request.substr(start, request.find(' ', start) - start);
}

std::string AnswerOf(const std::string& path) { return "answer to " + path; }

std::string Refusal(const std::string& request, const std::string& status,
                    bool has_id) {
  const std::string id_field =
      has_id ? "Rosemarycove-Request-Id: " +
                   HeaderValue(request, "Rosemarycove-Request-Id") + "\r\n"
             : "";
  return fmt::format(
      "HTTP/1.1 {}\r\n{}Rosemarycove-Not-Executed: 1\r\n"
      "Content-Length: 4\r\n\r\nfull",
      status, id_field);
}

// A server that records which requests it ran. It refuses only what it doesn't
// run, but writes its earlier refusals and answers again at random.
class FaultyServer {
 public:
  explicit FaultyServer(int seed) : seed(seed) {}

  RawServer::Handler Handler() {
    return [this](RawConnection& connection) {
      Random random(
          static_cast<unsigned>(this->seed * 100003 + ++this->connections));
      std::vector<std::string> earlier;
      while (const auto request = connection.ReadMessage()) {
        if (!this->Respond(*request, earlier, connection, random)) {
          return;
        }
      }
    };
  }

  // How often the request with this path was run.
  int RunCount(const std::string& path) {
    const std::lock_guard lock(this->mutex);
    return this->runs[path];
  }
  int total_runs() {
    const std::lock_guard lock(this->mutex);
    int total = 0;
    for (const auto& [path, count] : this->runs) {
      total += count;
    }
    return total;
  }
  [[nodiscard]] int repeated() const { return this->repeated_count; }
  [[nodiscard]] int refused() const { return this->refused_count; }

 private:
  // Returns false if the connection ends.
  bool Respond(const std::string& request, std::vector<std::string>& earlier,
               RawConnection& connection, Random& random) {
    this->RepeatAny(earlier, connection, random);
    if (Chance(random, 0.3)) {
      const std::string status =
          Chance(random, 0.7)
              ? "503 Full"
              : (Chance(random, 0.5) ? "429 Limit" : "421 Misdirected");
      // Without an id, the refusal is certain as the first response only.
      const bool has_id = !earlier.empty() || Chance(random, 0.8);
      connection.Send(Refusal(request, status, has_id));
      ++this->refused_count;
      earlier.push_back(Refusal(request, status, Chance(random, 0.5)));
      return this->WriteLateBytes(earlier, connection, random);
    }
    if (Chance(random, 0.03)) {
      connection.Reset();
      return false;
    }
    const std::string path = PathOf(request);
    {
      const std::lock_guard lock(this->mutex);
      ++this->runs[path];
    }
    this->RepeatAny(earlier, connection, random);
    std::this_thread::sleep_for(std::chrono::microseconds(
        std::uniform_int_distribution<int>(0, 500)(random)));
    return this->Answer(request, AnswerOf(path), earlier, connection, random);
  }

  // Answers a request that was run.
  bool Answer(const std::string& request, const std::string& body,
              std::vector<std::string>& earlier, RawConnection& connection,
              Random& random) {
    const std::string answer = EngineResponse(request, body);
    switch (std::uniform_int_distribution<int>(0, 30)(random)) {
      case 0:
        connection.Reset();
        return false;
      case 1:
        return false;
      case 2:
        connection.Send(answer.substr(0, answer.size() / 2));
        return false;
      case 3:
        connection.Send(EngineResponse(request, "ran", "503 Ran"));
        break;
      case 4:
        connection.Send(EngineResponse(request, "ran", "500 Failed"));
        break;
      case 5:
        connection.Send("HTTP/1.1 100 Continue\r\n\r\n" + answer);
        break;
      case 6:
        // Nothing: the request's deadline ends the connection.
        connection.ReadToEnd();
        return false;
      default:
        connection.Send(answer);
        break;
    }
    // Callers take a success only with the seal, so one without an id is as
    // dangerous as a refusal.
    earlier.push_back(
        fmt::format("HTTP/1.1 200 OK\r\nRosemarycove-Server-Seal: seal\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    body.size(), body));
    return this->WriteLateBytes(earlier, connection, random);
  }

  // Writes earlier responses, or a part of one, right after a response or some
  // time later, when the connection may be idle or have a new request.
  bool WriteLateBytes(const std::vector<std::string>& earlier,
                      RawConnection& connection, Random& random) {
    if (Chance(random, 0.5)) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(
        std::uniform_int_distribution<int>(0, 300)(random)));
    this->RepeatAny(earlier, connection, random);
    return true;
  }

  void RepeatAny(const std::vector<std::string>& earlier,
                 RawConnection& connection, Random& random) {
    if (earlier.empty() || !Chance(random, 0.3)) {
      return;
    }
    ++this->repeated_count;
    const std::string& bytes =
        earlier[std::uniform_int_distribution<std::size_t>(
            0, earlier.size() - 1)(random)];
    if (Chance(random, 0.8)) {
      connection.Send(bytes);
      return;
    }
    const auto cut =
        std::uniform_int_distribution<std::size_t>(1, bytes.size() - 1)(random);
    connection.Send(bytes.substr(0, cut));
    if (Chance(random, 0.5)) {
      std::this_thread::sleep_for(std::chrono::microseconds(200));
      connection.Send(bytes.substr(cut));
    }
  }

  int seed;
  std::atomic<int> connections = 0;
  std::atomic<int> repeated_count = 0;
  std::atomic<int> refused_count = 0;
  // Guards `runs`.
  std::mutex mutex;
  std::map<std::string, int> runs;
};

// Returns whether callers take the response to mean that the request was not
// executed.
bool PromisesNotExecuted(const std::string& response) {
  for (const char* status : {"503", "429", "421", "408"}) {
    if (response.starts_with(std::string("HTTP/1.1 ") + status)) {
      return true;
    }
  }
  return false;
}

struct SentRequest {
  std::string path;
  bool repeatable = false;
  std::string response;
};

// Sends requests one after the other and returns them with their responses.
std::vector<SentRequest> SendRequests(const RunningGateway& gateway, int seed,
                                      int caller) {
  Random random(static_cast<unsigned>(seed * 1009 + caller));
  std::vector<SentRequest> sent;
  for (int i = 0; i < kRequestsPerCaller; ++i) {
    const bool repeatable = Chance(random, 0.3);
    const std::string path =
        fmt::format("/{}/{}-{}", repeatable ? "again" : "once", caller, i);
    const std::string id =
        fmt::format("r{}", std::uniform_int_distribution<int>(0, kIds)(random));
    sent.push_back({.path = path,
                    .repeatable = repeatable,
                    .response = gateway.SendRequest(
                        fmt::format("POST {} HTTP/1.1\r\nHost: site.example\r\n"
                                    "Rosemarycove-Request-Id: {}\r\n"
                                    "Authorization: Token key-1\r\n"
                                    "Rosemarycove-Deadline-Ms: {}\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    path, id, kDeadlineMs))});
  }
  return sent;
}

// Returns which property the response violates; empty if none.
std::string Violation(const SentRequest& sent, int run_count) {
  if (run_count > (sent.repeatable ? kRepeatableAttempts : 1)) {
    return "was run too often";
  }
  if (run_count > 0 && PromisesNotExecuted(sent.response)) {
    return "was run and reported as not run";
  }
  if (sent.response.starts_with("HTTP/1.1 200") &&
      !sent.response.ends_with("\r\n\r\n" + AnswerOf(sent.path))) {
    return "got the answer to another request";
  }
  return "";
}

}  // namespace

TEST_GROUP(FaultyServers){};

// Guards against requests that a server ran being reported as not run, being
// run again or getting another request's answer.
TEST(FaultyServers, RequestThatRanIsNeitherRefusedNorRunAgain) {
  int repeated = 0;
  int refused = 0;
  int runs = 0;
  for (int seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    FaultyServer server(seed);
    std::vector<SentRequest> all;
    {
      PlatformFixture platform(server.Handler());
      // Servers at fault are avoided for a while, so many are needed.
      for (int i = 2; i <= kServers; ++i) {
        for (const char* service : {"orders", "stock"}) {
          platform.AddServer(fmt::format("{}-{}", service, i), service,
                             platform.engine.address());
        }
      }
      const RunningGateway gateway("a", platform.store.address());
      gateway.AwaitReady();
      std::vector<std::vector<SentRequest>> by_caller(kCallers);
      std::vector<std::thread> callers;
      callers.reserve(kCallers);
      for (int caller = 0; caller < kCallers; ++caller) {
        callers.emplace_back([&, caller] {
          by_caller[static_cast<std::size_t>(caller)] =
              SendRequests(gateway, seed, caller);
        });
      }
      for (std::thread& caller : callers) {
        caller.join();
      }
      for (const std::vector<SentRequest>& sent : by_caller) {
        all.insert(all.end(), sent.begin(), sent.end());
      }
    }
    for (const SentRequest& sent : all) {
      const std::string violation = Violation(sent, server.RunCount(sent.path));
      if (!violation.empty()) {
        FAIL(fmt::format("seed {}: {} {}: {}", seed, sent.path, violation,
                         sent.response.substr(0, 12))
                 .c_str());
      }
    }
    repeated += server.repeated();
    refused += server.refused();
    runs += server.total_runs();
  }
  // The servers showed the faults and nevertheless ran most requests.
  CHECK(repeated > 100);
  CHECK(refused > 100);
  CHECK(runs > kLastSeed * kCallers * kRequestsPerCaller / 4);
}
