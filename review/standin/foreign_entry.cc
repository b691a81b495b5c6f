// An entry of another writer, with fields missing, under the id of an engine.
#include "review/standin/setup.h"

using namespace stage;

int main(int, char** arguments) {
  record.Open(arguments[1]);
  const string folder = FolderForFiles();
  Store store;
  store.Put("op/config", ConfigurationText());
  std::list<Engine> engines;
  for (int i = 1; i <= 2; ++i) {
    engines.emplace_back(store,
                         EngineOptions{.id = "i-model-" + std::to_string(i),
                                       .service = "model-pool"});
  }
  for (int i = 1; i <= 3; ++i) {
    engines.emplace_back(store,
                         EngineOptions{.id = "i-orders-" + std::to_string(i),
                                       .service = "orders-app",
                                       .slots = 6,
                                       .work_ms = 150});
  }
  for (Engine& engine : engines) {
    engine.Start();
  }
  Gateway a("gw-a", store.port(), folder);
  Gateway b("gw-b", store.port(), folder);
  a.Start({a.seed(), b.seed()});
  b.Start({a.seed(), b.seed()});
  if (!a.AwaitReady(10) || !b.AwaitReady(10)) {
    Finish(2, "the gateways aren't ready");
  }
  SleepMs(1500);
  std::atomic<bool> stop = false;
  std::atomic<int> sent = 0;
  std::vector<std::thread> callers;
  for (int c = 0; c < 12; ++c) {
    callers.emplace_back([&, c] {
      for (int i = 0; !stop; ++i) {
        const string id =
            "order-" + std::to_string(c) + "-" + std::to_string(i);
        record.Line("consumer sends " + id + ", POST /order/new");
        ++sent;
        const Answer answer =
            Ask((c % 2 == 0 ? a : b).front,
                RequestText("POST", "/order/new", id, 4000, "", "12 nets"), 5);
        record.Line("consumer gets for " + id + ": " + Summary(answer) + ", " +
                    answer.body.substr(0, answer.body.find('\n')));
        SleepMs(5);
      }
    });
  }
  SleepMs(2000);
  if (WithTrouble()) {
    // The engine has just renewed its entry, and will again in about a second.
    Engine& model = engines.front();
    model.AwaitRenewal();
    SleepMs(50);
    // `version`, `cold_left_ms` and `seq` are missing.
    const string entry = "{\"service\":\"orders-app\",\"address\":\"" +
                         model.address() +
                         "\",\"zone\":\"z1\",\"slots\":64,\"state\":\"ready\"}";
    record.Line("another writer writes servers/i-model-1: " + entry);
    store.Put("servers/i-model-1", entry);
  }
  SleepMs(4000);
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  a.End();
  b.End();
  int wrong = 0;
  for (const Run& run : runs.All()) {
    wrong += run.service != "orders-app" ? 1 : 0;
  }
  Finish(wrong > 0 ? 1 : 0, "ROUTE: " + std::to_string(wrong) + " of " +
                                std::to_string(sent) +
                                " orders were run by an engine of model-pool");
}
