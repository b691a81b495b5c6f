// Engines that start again, one after the other, under the ids that they had,
// with a newer version of their software.
#include "review/standin/setup.h"

using namespace stage;

namespace {

struct Stream {
  string id;
  std::vector<string> writers;  // The versions that wrote its events, in order.
  bool complete = false;
  string trace;
};

// Receives one stream; takes it up again as the pages say if it breaks.
void Receive(Stream& stream, const std::vector<int>& fronts, int number) {
  string last_id;
  string origin;
  int attempt = 0;
  for (; attempt < 4 && !stream.complete; ++attempt) {
    const string id = stream.id + "-" + std::to_string(attempt);
    string fields = StreamFields("aa" + std::to_string(number));
    if (!last_id.empty()) {
      fields += "Last-Event-Id: " + last_id + "\r\nResumes: " + origin + "\r\n";
    }
    const int front =
        fronts[static_cast<std::size_t>(number + attempt) % fronts.size()];
    record.Line("consumer sends " + id +
                (last_id.empty() ? "" : " to go on after event " + last_id));
    const Answer answer = Ask(
        front, RequestText("POST", "/help/ask", id, 15000, fields, "question"),
        12);
    string writers;
    for (const string& event : answer.events) {
      const string writer = event.substr(event.find(' ') + 1);
      if (stream.writers.empty() || stream.writers.back() != writer) {
        stream.writers.push_back(writer);
      }
      if (writers.empty() || writers.substr(writers.rfind(' ') + 1) != writer) {
        writers += " " + writer;
      }
    }
    record.Line("consumer gets for " + id + ": " + Summary(answer) +
                (writers.empty() ? "" : ", written by" + writers));
    if (!answer.events.empty()) {
      last_id = answer.last_id;
      if (origin.empty()) {
        origin = id;
      }
    }
    stream.complete = answer.complete && answer.status == 200;
    if (!stream.complete) {
      SleepMs(1000 * RetryAfter(answer));
    }
  }
}

}  // namespace

int main(int, char** arguments) {
  record.Open(arguments[1]);
  const string folder = FolderForFiles();
  Store store;
  store.Put("op/config", ConfigurationText());
  Engine one(store, {.id = "i-model-1", .service = "model-pool"});
  Engine two(store, {.id = "i-model-2", .service = "model-pool"});
  one.options.events = two.options.events = 150;
  one.Start();
  two.Start();
  Gateway a("gw-a", store.port(), folder);
  Gateway b("gw-b", store.port(), folder);
  a.Start({a.seed(), b.seed()});
  b.Start({a.seed(), b.seed()});
  if (!a.AwaitReady(10) || !b.AwaitReady(10)) {
    Finish(2, "the gateways aren't ready");
  }
  SleepMs(4000);
  std::list<Stream> streams;
  std::vector<std::thread> callers;
  int number = 0;
  const auto begin = [&](int count) {
    for (int i = 0; i < count; ++i) {
      streams.push_back({.id = "help-" + std::to_string(number)});
      callers.emplace_back([&stream = streams.back(), number,
                            fronts = std::vector<int>{a.front, b.front}] {
        Receive(stream, fronts, number);
      });
      ++number;
      SleepMs(20);
    }
  };
  begin(16);
  SleepMs(500);
  if (WithTrouble()) {
    one.Crash();
    SleepMs(2000);
    one.options.version = "v2";
    one.Start();
    // The next one is replaced as soon as this one serves.
    SleepMs(100);
    two.Crash();
    SleepMs(2000);
    two.options.version = "v2";
    two.Start();
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  a.End();
  b.End();
  int mixed = 0;
  int whole = 0;
  for (const Stream& stream : streams) {
    std::set<string> versions;
    for (const string& writer : stream.writers) {
      versions.insert(writer.substr(0, writer.find('/')));
    }
    mixed += versions.size() > 1 ? 1 : 0;
    whole += stream.complete ? 1 : 0;
  }
  // The rule allows two.
  Finish(mixed > 2 ? 1 : 0, "ORDER: " + std::to_string(mixed) + " of " +
                                std::to_string(streams.size()) +
                                " streams hold events of two versions, " +
                                std::to_string(whole) + " are complete");
}
