// The store turns two of six machines away and serves the others, while the
// operator takes a key away.
#include "review/standin/setup.h"

using namespace stage;

namespace {

constexpr int kGateways = 6;
constexpr double kRefusedFor = 9.0;
// config_apply_ms + outer_ms, since the store is disturbed.
constexpr double kBound = 2.0 + 5.0;

string Tenants(const string& keys) {
  string text = ConfigurationText({.version = keys.empty() ? 8 : 7});
  const std::size_t at = text.find("\"tenants\":[") + 11;
  text.insert(at, "{\"name\":\"partner\",\"api_keys\":[" + keys +
                      "\"key-9\"],\"priority\":1},");
  return text;
}

struct Asked {
  string id;
  int gateway = 0;
  double sent_at = 0;
  int status = 0;
};

}  // namespace

int main(int, char** arguments) {
  record.Open(arguments[1]);
  const string folder = FolderForFiles();
  Store store;
  store.Put("op/config", Tenants("\"key-2\","));
  std::list<Engine> engines;
  for (int i = 1; i <= 3; ++i) {
    engines.emplace_back(store,
                         EngineOptions{.id = "i-orders-" + std::to_string(i),
                                       .service = "orders-app",
                                       .slots = 6,
                                       .work_ms = 15});
    engines.back().Start();
  }
  std::vector<Store::Front*> fronts;
  std::list<Gateway> gateways;
  std::vector<string> seeds;
  for (int i = 0; i < kGateways; ++i) {
    fronts.push_back(&store.AddFront());
    gateways.emplace_back("gw-" + std::to_string(i + 1), fronts.back()->port(),
                          folder);
    if (i < 3) {
      seeds.push_back(gateways.back().seed());
    }
  }
  for (Gateway& gateway : gateways) {
    gateway.Start(seeds);
  }
  for (Gateway& gateway : gateways) {
    if (!gateway.AwaitReady(10)) {
      Finish(2, "the gateways aren't ready");
    }
  }
  SleepMs(10000);
  std::set<int> refused;
  for (int i = 0; i < kGateways && refused.size() < 2; ++i) {
    if (fronts[static_cast<std::size_t>(i)]->open_watches > 0) {
      refused.insert(i);
    }
  }
  if (refused.size() != 2) {
    Finish(2, "fewer than two machines watch the configuration");
  }
  if (WithTrouble()) {
    for (const int i : refused) {
      record.Line("the store turns gw-" + std::to_string(i + 1) +
                  " away with 503");
      fronts[static_cast<std::size_t>(i)]->Refuse();
    }
  }
  const double refused_at = Now();
  SleepMs(300);
  const double acknowledged = Now();
  store.Put("op/config", Tenants(""));
  record.Line("the operator has written version 8, without key-2");
  std::mutex mutex;
  std::vector<Asked> all;
  std::vector<std::thread> callers;
  int number = 0;
  for (Gateway& gateway : gateways) {
    callers.emplace_back([&, number, front = gateway.front] {
      for (int i = 0; Now() < acknowledged + 12; ++i) {
        const string id =
            "gw" + std::to_string(number + 1) + "-" + std::to_string(i);
        string request = RequestText("GET", "/stock/thread", id, 4000);
        request.replace(request.find("key-1"), 5, "key-2");
        const double at = Now();
        const Answer answer = Ask(front, request, 5);
        record.Line("consumer with key-2 gets for " + id + ", sent " +
                    std::to_string(at - acknowledged) +
                    " s after the ack: " + Summary(answer));
        {
          const std::lock_guard lock(mutex);
          all.push_back({id, number, at, answer.status});
        }
        SleepMs(200);
      }
    });
    ++number;
  }
  SleepMs(std::max(0.0, 1000 * (refused_at + kRefusedFor - Now())));
  for (Store::Front* front : fronts) {
    front->refuses = false;
  }
  record.Line("the store serves all machines");
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (Gateway& gateway : gateways) {
    gateway.End();
  }
  std::set<string> ran;
  for (const Run& run : runs.All()) {
    ran.insert(run.id);
  }
  int late = 0;
  double latest = 0;
  for (const Asked& asked : all) {
    // Judged are the machines that the store serves all the while.
    if (!refused.contains(asked.gateway) && ran.contains(asked.id)) {
      latest = std::max(latest, asked.sent_at - acknowledged);
      late += asked.sent_at > acknowledged + kBound ? 1 : 0;
    }
  }
  char text[200];
  std::snprintf(text, sizeof text,
                "CONFIG: %d requests with the dropped key, sent later than "
                "%.0f s after the ack at machines that the store served, were "
                "run; the last was sent after %.1f s",
                late, kBound, latest);
  Finish(late > 0 ? 1 : 0, text);
}
