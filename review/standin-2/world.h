// Stand-ins for the platform's store, the engines, the consumers and the
// platform that starts the processes, as far as the cases of this review need
// them. Everything listens on loopback addresses.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Milliseconds since the program started.
double NowMs();
void SleepMs(double ms);
// A port of 127.0.0.1 that is free now.
int FreePort();
// Raises the limit on descriptors to its hard limit and returns it.
int RaiseDescriptorLimit();
// Ends all processes that were started, and this one with status 2, at a signal
// to stop or after this time. To be called before any thread is started.
void StartWatchdog(double limit_ms);
// Appends a line with the time to the record.
void Record(const std::string& line);
void OpenRecord(const std::string& path);
// Whether the disruption is played (TROUBLE=0 leaves it out).
bool HasTrouble();

// A blocking connection with time limits. All times are in ms.
class Channel {
 public:
  explicit Channel(int descriptor = -1) : fd(descriptor) {}
  ~Channel() { this->Close(); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Connects to the port; returns false if that takes longer than `limit`.
  bool Connect(int port, double limit);
  bool Send(const std::string& bytes);
  // Reads a head up to the empty line. Returns false at the end of the channel
  // or when `until` (NowMs) has passed.
  bool ReadHead(std::string& head, double until);
  bool ReadBytes(std::size_t count, std::string& bytes, double until);
  // Reads the body that the head announces.
  bool ReadBody(const std::string& head, std::string& body, double until);
  void Close();
  // Whether the other side has closed the channel.
  [[nodiscard]] bool IsClosedByPeer() const;
  // Whether a read ended because the time was up.
  bool timed_out = false;
  int fd;

 private:
  bool Fill(double until);
  std::string buffer;
};

// The value of a header field; empty if there is none.
std::string FieldOf(const std::string& head, const std::string& name);
int StatusOf(const std::string& head);
std::string Base64(const std::string& bytes);

// Accepts connections on 127.0.0.1 and runs the handler for each on a thread.
class Server {
 public:
  using Handler = std::function<void(Channel&)>;
  // With port 0, the system chooses one.
  explicit Server(Handler handler, int port = 0);
  ~Server();
  [[nodiscard]] int port() const { return this->listen_port; }
  [[nodiscard]] bool stopping() const { return this->is_stopping; }
  // With `reset`, open channels end with a TCP reset, as those of a process
  // that was killed do.
  void Stop(bool reset = false);

 private:
  Handler handler;
  int listen_fd = -1;
  int listen_port = 0;
  std::atomic<bool> is_stopping = false;
  std::mutex mutex;
  std::set<int> open;
  std::atomic<int> running = 0;
  std::thread acceptor;
};

// The store: range, watch and single reads.
class Store {
 public:
  Store();
  ~Store();
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // While it is down, every call gets 503, and nothing is written.
  void SetDown(bool down);
  [[nodiscard]] int port() const { return this->server->port(); }

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  void Serve(Channel& channel);
  std::string Answer(const std::string& target);
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::uint64_t revision = 10;
  std::atomic<bool> is_stopping = false;
  std::atomic<bool> is_down = false;
  std::unique_ptr<Server> server;
};

// One request that reached an engine and ran there.
struct Run {
  std::string engine;
  std::string id;
  double at = 0;
};

// An engine of a plain service: `slots` requests at a time and a queue; rejects
// the rest as not executed.
class Engine {
 public:
  Engine(Store& store, std::string id, std::string service, std::string zone,
         int slots, int queue, double work_ms);
  ~Engine();
  [[nodiscard]] std::vector<Run> runs();

 private:
  void Serve(Channel& channel);
  void Beat();
  Store& store;
  std::string id;
  std::string service;
  std::string zone;
  int slots;
  int queue;
  double work_ms;
  std::mutex mutex;
  std::condition_variable freed;
  int active = 0;
  int waiting = 0;
  std::vector<Run> all_runs;
  std::atomic<bool> is_stopping = false;
  std::unique_ptr<Server> server;
  std::thread beats;
};

// A model engine: answers with a stream of events that name the version of its
// software, and goes on after Last-Event-Id. It can be replaced in place: it
// ends, and starts again under its id and address with other software.
class ModelEngine {
 public:
  ModelEngine(Store& store, std::string id, std::string zone,
              std::string version, int event_count, double event_ms);
  ~ModelEngine();
  // Ends the process; its channels are reset.
  void Kill();
  // Starts the process; its entry is written at once if the store is there.
  void Start(const std::string& version);
  [[nodiscard]] const std::string& name() const { return this->id; }

 private:
  void Serve(Channel& channel, const std::string& own_version);
  void Beat();
  Store& store;
  std::string id;
  std::string zone;
  int event_count;
  double event_ms;
  std::mutex mutex;
  std::string version;
  std::string born;
  bool is_up = false;
  int seq = 0;
  int port = 0;
  std::atomic<int> running = 0;
  std::atomic<bool> is_stopping = false;
  std::unique_ptr<Server> server;
  std::thread beats;
};

// One machine: starts `target/rosemarycove gateway` as the platform does, and
// starts it again after a short delay when it has ended.
class Machine {
 public:
  Machine(std::string name, std::string zone, int store_port,
          const std::vector<int>& seed_ports, int control_port,
          const std::string& folder);
  ~Machine();
  void Start();
  // Watches the process: ends it when its memory exceeds the limit, as the
  // platform does, and starts it again.
  void Watch();
  // Ends the process and the watch.
  void Stop();
  [[nodiscard]] bool IsReady() const;
  bool WaitUntilReady(double limit_ms);
  [[nodiscard]] double rss_mb() const;

  int front_port = 0;
  int ready_port = 0;
  int control_port = 0;
  std::string name;
  std::atomic<pid_t> pid = 0;
  std::atomic<int> memory_ends = 0;
  std::atomic<int> other_ends = 0;
  std::atomic<double> peak_mb = 0;
  double memory_limit_mb = 260;

 private:
  std::string folder;
  std::string settings_path;
  std::atomic<bool> is_stopping = false;
  std::thread watcher;
};

// The consumer's request, without a body.
struct Answer {
  // 0 if there was none.
  int status = 0;
  bool complete = false;
  bool connected = false;
  bool timed_out = false;
  double sent_at = 0;
  double ended_at = 0;
  bool has_seal = false;
};

// Sends one request on a new channel and waits for its whole answer.
Answer Ask(int port, const std::string& request, double limit_ms);

// The operator's configuration of one plain service and of its routes.
std::string Configuration(int version);
inline constexpr const char* kHost = "ficu95.example";
inline constexpr const char* kKey = "n2ctnfzs989anu6wsjnb";
inline constexpr const char* kService = "wuno96b";
inline constexpr const char* kModelService = "huvo11a";
inline constexpr const char* kStreamPath = "/pufi791/";
inline constexpr const char* kSafePath = "/cufi504/";
inline constexpr const char* kUnsafePath = "/puxa403/";
inline constexpr double kTimeoutMs = 2000;
inline constexpr double kContactMs = 3000;
// A request of an ordinary consumer.
std::string SafeRequest(const std::string& id, double deadline_ms);
std::string UnsafeRequest(const std::string& id, double deadline_ms,
                          const std::string& body);
std::string StreamRequest(const std::string& id, const std::string& resumes,
                          int last_event);
std::string NewId();
// The folder of the settings files and logs of this run; removed at the end.
std::string MakeFolder();
void RemoveFolder(const std::string& folder);

}  // namespace review
