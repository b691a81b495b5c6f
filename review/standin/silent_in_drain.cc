// A gateway is stopped in order while a sound engine falls silent for a second
// and the other engine is full.
#include "review/standin/setup.h"

using namespace stage;

int main(int, char** arguments) {
  record.Open(arguments[1]);
  const string folder = FolderForFiles();
  Store store;
  store.Put("op/config", ConfigurationText());
  Engine one(store,
             {.id = "i-model-1", .service = "model-pool", .events = 220});
  Engine two(store, {.id = "i-model-2",
                     .service = "model-pool",
                     .slots = 4,
                     .queue = 0,
                     .events = 600});
  one.Start();
  two.Start();
  // The seeds of both are down, so neither learns of the other.
  const string down = "127.0.0.1:" + std::to_string(FreePort());
  Gateway a("gw-a", store.port(), folder);
  Gateway b("gw-b", store.port(), folder);
  a.Start({down});
  b.Start({down});
  if (!a.AwaitReady(10) || !b.AwaitReady(10)) {
    Finish(2, "the gateways aren't ready");
  }
  SleepMs(4000);
  // Consumers of the other gateway fill the second engine.
  std::atomic<bool> stop = false;
  std::vector<std::thread> fillers;
  for (int i = 0; i < 24; ++i) {
    fillers.emplace_back([&, i] {
      for (int k = 0; !stop; ++k) {
        const string id = "fill-" + std::to_string(i) + "-" + std::to_string(k);
        const Answer answer = Ask(
            b.front,
            RequestText("POST", "/help/ask", id, 15000,
                        "Rosemarycove-Model: m\r\nRosemarycove-Token-Count: "
                        "400,300\r\nRosemarycove-Prefix-Hash: 5c1e07a2:120," +
                            std::to_string(1000 + i) + ":80,ee" +
                            std::to_string(100 * i + k) + ":200\r\n",
                        "q"),
            14);
        record.Line("consumer gets for " + id + ": " + Summary(answer));
        SleepMs(50);
      }
    });
    SleepMs(30);
  }
  for (int i = 0; two.running < two.options.slots - 1; ++i) {
    SleepMs(10);
    if (i > 300) {
      Finish(2, "the second engine isn't full");
    }
  }
  constexpr int kStreams = 10;
  std::atomic<int> complete = 0;
  std::atomic<int> cut = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const string id = "help-" + std::to_string(i);
      record.Line("consumer sends " + id);
      const Answer answer =
          Ask(a.front,
              RequestText("POST", "/help/ask", id, 15000,
                          StreamFields("dd" + std::to_string(i)), "question"),
              14);
      record.Line("consumer gets for " + id + ": " + Summary(answer));
      complete += answer.status == 200 && answer.complete ? 1 : 0;
      cut += answer.status == 200 && !answer.complete ? 1 : 0;
    });
    SleepMs(20);
  }
  SleepMs(1000);
  a.Signal(SIGTERM);
  SleepMs(500);
  if (WithTrouble()) {
    record.Line("engine i-model-1 falls silent");
    one.silent = true;
    SleepMs(1200);
    one.silent = false;
    record.Line("engine i-model-1 goes on");
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  a.End();
  b.End();
  // The consumers of the other gateway end with the process.
  Finish(complete + cut < kStreams ? 2
         : cut > 0                 ? 1
                                   : 0,
         "LOST: " + std::to_string(cut) + " of " + std::to_string(kStreams) +
             " streams were cut after SIGTERM, " + std::to_string(complete) +
             " were complete");
}
