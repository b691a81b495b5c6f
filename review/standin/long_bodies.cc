// Many consumers send long bodies, within the limits of the configuration, at
// once. The platform ends a process whose memory exceeds its limit.
#include "review/standin/setup.h"

using namespace stage;

namespace {

constexpr std::size_t kBodyBytes = 4194304;  // max_body_bytes
constexpr long kMemoryKb = 260 * 1024;       // memory_mb

long MemoryKb(pid_t pid) {
  std::FILE* file =
      std::fopen(("/proc/" + std::to_string(pid) + "/status").c_str(), "r");
  if (file == nullptr) {
    return 0;
  }
  char line[256];
  long kb = 0;
  while (std::fgets(line, sizeof line, file) != nullptr) {
    if (std::sscanf(line, "VmRSS: %ld", &kb) == 1) {
      break;
    }
  }
  std::fclose(file);
  return kb;
}

}  // namespace

int main(int, char** arguments) {
  record.Open(arguments[1]);
  constexpr int consumers = 40;
  // Only measures the memory.
  const bool may_grow = std::getenv("MAY_GROW") != nullptr;
  const string folder = FolderForFiles();
  Store store;
  store.Put("op/config", ConfigurationText());
  std::list<Engine> engines;
  for (int i = 1; i <= 3; ++i) {
    engines.emplace_back(store,
                         EngineOptions{.id = "i-orders-" + std::to_string(i),
                                       .service = "orders-app",
                                       .slots = 6,
                                       .work_ms = 300});
    engines.back().Start();
  }
  Gateway a("gw-a", store.port(), folder);
  a.Start({a.seed()});
  if (!a.AwaitReady(10)) {
    Finish(2, "the gateway isn't ready");
  }
  SleepMs(1000);
  std::atomic<bool> stop = false;
  std::atomic<long> peak = 0;
  std::atomic<bool> killed = false;
  std::thread platform([&] {
    while (!stop && !killed) {
      const long kb = MemoryKb(a.pid);
      peak = std::max<long>(peak, kb);
      if (kb > kMemoryKb && !may_grow) {
        killed = true;
        record.Line("the platform ends gw-a, which uses " +
                    std::to_string(kb / 1024) + " MB of 260");
        a.Signal(SIGKILL);
      }
      SleepMs(2);
    }
  });
  std::mutex mutex;
  std::set<string> unanswered;
  std::set<string> answered;
  std::atomic<int> refused = 0;
  std::vector<std::thread> callers;
  for (int c = 0; c < consumers; ++c) {
    callers.emplace_back([&, c] {
      if (!WithTrouble()) {
        SleepMs(c * 400.0);
      }
      const int fd = Connect(a.front);
      if (fd < 0) {
        return;
      }
      Channel channel(fd);
      const string first = "small-" + std::to_string(c);
      channel.Send(
          RequestText("POST", "/order/new", first, 4000, "", "2 nets"));
      record.Line("consumer gets for " + first + ": " +
                  Summary(ReadAnswer(channel, 5)));
      const string id = "long-" + std::to_string(c);
      record.Line("consumer sends " + id + ", POST /order/new, " +
                  std::to_string(kBodyBytes) + " bytes");
      const string request = RequestText("POST", "/order/new", id, 4000, "",
                                         string(kBodyBytes, 'x'));
      bool sent = true;
      const double begin = Now();
      for (std::size_t at = 0; sent && at < request.size(); at += 65536) {
        sent = channel.Send(request.substr(at, 65536));
        // All together stay below what the machine's link carries.
        const double due = begin + static_cast<double>(at) / 2.2e6;
        if (due > Now()) {
          SleepMs(1000 * (due - Now()));
        }
      }
      const Answer answer = ReadAnswer(channel, 5);
      record.Line("consumer gets for " + id + (sent ? ": " : ", cut: ") +
                  Summary(answer));
      const std::lock_guard lock(mutex);
      (answer.status == 0 ? unanswered : answered).insert(id);
      refused += answer.status == 503 ? 1 : 0;
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  stop = true;
  platform.join();
  a.End();
  int lost = 0;
  for (const Run& run : runs.All()) {
    lost += unanswered.contains(run.id) ? 1 : 0;
  }
  Finish(lost > 3 ? 1 : 0, "LOST: " + std::to_string(lost) +
                               " requests from kept channels that "
                               "engines ran had no answer; " +
                               std::to_string(unanswered.size()) + " of " +
                               std::to_string(consumers) + " had none, " +
                               std::to_string(refused) +
                               " were refused; memory " +
                               std::to_string(peak / 1024) + " MB");
}
