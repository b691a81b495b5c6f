// A gateway process freezes while an engine with newer software joins its
// service. The consumers of its streams take them up again at the other
// gateway.
#include "review/standin/setup.h"

using namespace stage;

namespace {

constexpr int kStreams = 20;
// A consumer abandons a stream after a gap of two seconds.
constexpr double kGap = 2.0;
constexpr int kRetries = 3;

struct Stream {
  string id;
  bool taken_up = false;
  bool goes_on = false;
};

// Reads events until the end or a gap that makes the consumer leave. Returns
// the id of the last one.
Answer ReadUntilGap(Channel& channel, double leave_at) {
  Answer answer;
  const auto head = ReadHead(channel, kGap);
  if (!head) {
    return answer;
  }
  answer.head = *head;
  answer.status = head->Status();
  if (answer.status != 200) {
    ReadSized(channel, answer.head, 1);
    return answer;
  }
  while (true) {
    std::size_t at = 0;
    while ((at = channel.buffer.find("\n\n")) != string::npos) {
      const string event = channel.buffer.substr(0, at);
      channel.buffer.erase(0, at + 2);
      const std::size_t id = event.rfind("id: ");
      const std::size_t data = event.find("\ndata: ");
      if (id != string::npos && data != string::npos) {
        answer.last_id = event.substr(id + 4, data - id - 4);
        answer.events.push_back(answer.last_id + " " + event.substr(data + 7));
      }
    }
    if (channel.buffer.find("0\r\n\r\n") != string::npos) {
      answer.complete = true;
      return answer;
    }
    if (Now() >= leave_at ||
        !channel.Receive(std::min(kGap, leave_at - Now()))) {
      return answer;
    }
  }
}

void Receive(Stream& stream, int first, int second, int number,
             double leave_at) {
  string last_id;
  string origin;
  for (int attempt = 0; attempt <= kRetries; ++attempt) {
    const string id = stream.id + "-" + std::to_string(attempt);
    string fields = StreamFields("bb" + std::to_string(number));
    if (!last_id.empty()) {
      fields += "Last-Event-Id: " + last_id + "\r\nResumes: " + origin + "\r\n";
      stream.taken_up = true;
    }
    const int fd = Connect(attempt == 0 ? first : second);
    if (fd < 0) {
      continue;
    }
    Channel channel(fd);
    record.Line("consumer sends " + id +
                (last_id.empty() ? "" : " to go on after event " + last_id));
    channel.Send(
        RequestText("POST", "/help/ask", id, 15000, fields, "question"));
    const Answer answer = ReadUntilGap(channel, attempt == 0 ? leave_at : 1e9);
    record.Line("consumer gets for " + id + ": status " +
                std::to_string(answer.status) + ", " +
                std::to_string(answer.events.size()) + " events" +
                (answer.complete ? ", complete"
                 : answer.status == 200
                     ? ", leaves after a gap"
                     : ", come back in " + answer.head.Field("retry-after")));
    if (!answer.events.empty()) {
      stream.goes_on = stream.taken_up;
      last_id = answer.last_id;
      if (origin.empty()) {
        origin = id;
      }
    }
    if (answer.complete) {
      return;
    }
    SleepMs(1000 * RetryAfter(answer));
  }
}

}  // namespace

int main(int, char** arguments) {
  record.Open(arguments[1]);
  const string folder = FolderForFiles();
  Store store;
  store.Put("op/config", ConfigurationText());
  std::list<Engine> engines;
  const auto start_engine = [&](const string& version) {
    engines.emplace_back(
        store,
        EngineOptions{.id = "i-model-" + std::to_string(engines.size() + 1),
                      .service = "model-pool",
                      .version = version,
                      .events = 450});
    engines.back().Start();
  };
  for (int i = 0; i < 3; ++i) {
    start_engine("v1");
  }
  Gateway a("gw-a", store.port(), folder);
  Gateway b("gw-b", store.port(), folder);
  a.Start({a.seed(), b.seed()});
  b.Start({a.seed(), b.seed()});
  if (!a.AwaitReady(10) || !b.AwaitReady(10)) {
    Finish(2, "the gateways aren't ready");
  }
  // Both have served for a while.
  SleepMs(36000);
  std::list<Stream> streams;
  std::vector<std::thread> callers;
  const double begin = Now();
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back({.id = "help-" + std::to_string(i)});
    callers.emplace_back([&, &stream = streams.back(), i] {
      // Without the disruption, the consumers leave at that time.
      Receive(stream, a.front, b.front, i,
              WithTrouble() ? 1e9 : begin + 1 + kGap);
    });
    SleepMs(20);
  }
  SleepMs(1000 - 1000 * (Now() - begin));
  if (WithTrouble()) {
    a.Signal(SIGSTOP);
    SleepMs(500);
    start_engine("v2");
  } else {
    SleepMs(500);
  }
  // New streams at the other gateway, for comparison.
  SleepMs(1500);
  std::atomic<int> begun = 0;
  for (int i = 0; i < kStreams; ++i) {
    callers.emplace_back([&, i] {
      const string id = "new-" + std::to_string(i);
      const int fd = Connect(b.front);
      Channel channel(fd);
      channel.Send(RequestText("POST", "/help/ask", id, 15000,
                               StreamFields("cc" + std::to_string(i)), "new"));
      const Answer answer = ReadUntilGap(channel, Now() + 1);
      record.Line("consumer gets for " + id + ": status " +
                  std::to_string(answer.status) + ", " +
                  std::to_string(answer.events.size()) + " events");
      begun += answer.events.empty() ? 0 : 1;
    });
    SleepMs(20);
  }
  SleepMs(std::max(0.0, 1000 * (begin + 5 - Now())));
  if (WithTrouble()) {
    a.Signal(SIGCONT);
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  a.End();
  b.End();
  int taken_up = 0;
  int go_on = 0;
  for (const Stream& stream : streams) {
    taken_up += stream.taken_up ? 1 : 0;
    go_on += stream.goes_on ? 1 : 0;
  }
  const double share =
      taken_up == 0 ? 1 : static_cast<double>(go_on) / taken_up;
  const double new_share = static_cast<double>(begun) / kStreams;
  Finish(taken_up < 12           ? 2
         : share < new_share / 2 ? 1
                                 : 0,
         "LOST: of " + std::to_string(taken_up) + " streams taken up again " +
             std::to_string(go_on) + " went on; of " +
             std::to_string(kStreams) + " new ones " + std::to_string(begun) +
             " began");
}
