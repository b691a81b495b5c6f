// Stand-ins for the cases of the review: the platform's store, engines and
// consumers, all in one process on loopback addresses, and a launcher for the
// gateway processes. They follow the users' pages. Needs only a C++20 compiler
// and POSIX.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using std::string;

inline const Clock::time_point kStart = Clock::now();

inline double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void SleepMs(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline bool WithTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || string(text) != "0";
}

// The record of what was sent, answered and run.
class Record {
 public:
  void Open(const string& path) { this->file = std::fopen(path.c_str(), "w"); }
  void Line(const string& text) {
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", Now(), text.c_str());
    std::fflush(this->file);
  }

 private:
  std::mutex mutex;
  std::FILE* file = stdout;
};
inline Record record;

inline int Listen(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
// Returns a port that is free, below those that the system gives to outgoing
// connections.
inline int FreePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> given;
  while (true) {
    const int port = 18000 + static_cast<int>(random() % 14000);
    const int fd = given.insert(port).second ? Listen(port) : -1;
    if (fd >= 0) {
      ::close(fd);
      return port;
    }
  }
}
inline int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    ::close(fd);
    return -1;
  }
  return fd;
}
inline void ResetSocket(int fd) {
  const linger now{.l_onoff = 1, .l_linger = 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

// A connection. Calls block; Kill, from any thread, ends them.
class Channel {
 public:
  explicit Channel(int fd) : fd(fd) {}
  ~Channel() { ::close(this->fd); }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  bool Send(const string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(this->fd, bytes.data() + sent,
                                   bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  // Reads more; false at the end, on an error or after the timeout.
  bool Receive(double timeout_s = 3600) {
    pollfd entry{.fd = this->fd, .events = POLLIN, .revents = 0};
    const int ready = ::poll(&entry, 1, static_cast<int>(timeout_s * 1000));
    if (ready <= 0) {
      this->timed_out = ready == 0;
      return false;
    }
    char block[8192];
    const ssize_t count = ::recv(this->fd, block, sizeof block, 0);
    if (count <= 0) {
      this->was_reset = count < 0;
      return false;
    }
    this->buffer.append(block, static_cast<std::size_t>(count));
    return true;
  }
  // Returns whether the other end has closed.
  bool IsClosed() {
    char byte;
    const ssize_t n = ::recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  void Kill(bool reset) {
    if (reset) {
      ResetSocket(this->fd);
      // An aborting disconnect resets the connection at once.
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      ::connect(this->fd, &none, sizeof none);
    } else {
      ::shutdown(this->fd, SHUT_RDWR);
    }
  }

  string buffer;
  bool was_reset = false;
  bool timed_out = false;

 private:
  int fd;
};

struct Message {
  string start;                     // The first line.
  std::map<string, string> fields;  // Names in lower case.
  string body;
  [[nodiscard]] string Field(const string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? "" : found->second;
  }
  [[nodiscard]] int Status() const {
    return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
  }
  [[nodiscard]] string Target() const {
    const std::size_t at = this->start.find(' ') + 1;
    return this->start.substr(at, this->start.find(' ', at) - at);
  }
};

// Reads a head; nullopt at the end or after the timeout.
inline std::optional<Message> ReadHead(Channel& channel, double timeout_s) {
  const double until = Now() + timeout_s;
  std::size_t end = 0;
  while ((end = channel.buffer.find("\r\n\r\n")) == string::npos) {
    if (Now() >= until || !channel.Receive(std::max(0.001, until - Now()))) {
      return std::nullopt;
    }
  }
  const string head = channel.buffer.substr(0, end + 2);
  channel.buffer.erase(0, end + 4);
  Message message;
  std::size_t at = head.find("\r\n");
  message.start = head.substr(0, at);
  while (at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.fields[name] = value == string::npos ? "" : line.substr(value);
  }
  return message;
}

// Reads a body with a length.
inline bool ReadSized(Channel& channel, Message& message, double timeout_s) {
  const std::size_t size =
      std::strtoul(message.Field("content-length").c_str(), nullptr, 10);
  const double until = Now() + timeout_s;
  while (channel.buffer.size() < size) {
    if (Now() >= until || !channel.Receive(std::max(0.001, until - Now()))) {
      return false;
    }
  }
  message.body = channel.buffer.substr(0, size);
  channel.buffer.erase(0, size);
  return true;
}

// Serves each connection on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Channel&)>;
  explicit Server(Handler handler) : handler(std::move(handler)) {}
  ~Server() { this->Stop(false); }

  // Starts to listen; on the same port as before if there was one.
  void Start() {
    if (this->port == 0) {
      this->port = FreePort();
    }
    this->listener = Listen(this->port);
    if (this->listener < 0) {
      std::perror("listen");
      std::exit(2);
    }
    this->running = true;
    this->acceptor = std::thread([this] {
      while (this->running) {
        pollfd entry{.fd = this->listener, .events = POLLIN, .revents = 0};
        if (::poll(&entry, 1, 20) <= 0) {
          continue;
        }
        const int fd =
            ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto channel = std::make_shared<Channel>(fd);
        const std::lock_guard lock(this->mutex);
        this->channels.push_back(channel);
        this->threads.emplace_back([this, channel] {
          this->handler(*channel);
          channel->Kill(false);
          const std::lock_guard done(this->mutex);
          this->channels.remove(channel);
        });
      }
    });
  }
  // Stops to listen and ends all connections, with a reset or in order.
  void Stop(bool reset) {
    if (!this->running.exchange(false)) {
      return;
    }
    this->acceptor.join();
    ::close(this->listener);
    this->KillAll(reset);
    std::list<std::thread> ended;
    {
      const std::lock_guard lock(this->mutex);
      ended.swap(this->threads);
    }
    for (std::thread& thread : ended) {
      thread.join();
    }
  }
  void KillAll(bool reset) {
    const std::lock_guard lock(this->mutex);
    for (const auto& channel : this->channels) {
      channel->Kill(reset);
    }
  }
  [[nodiscard]] bool is_running() const { return this->running; }

  int port = 0;

 private:
  Handler handler;
  int listener = -1;
  std::atomic<bool> running = false;
  std::thread acceptor;
  std::mutex mutex;
  std::list<std::shared_ptr<Channel>> channels;
  std::list<std::thread> threads;
};

inline string Base64(const string& bytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
    }
  }
  return text;
}

// The platform's store: the calls that the gateway makes.
class Store {
 public:
  // Where one machine reaches the store. The store may turn it away.
  struct Front {
    std::atomic<bool> refuses = false;
    std::atomic<int> open_watches = 0;  // Of the configuration.
    std::unique_ptr<Server> server;
    [[nodiscard]] int port() const { return this->server->port; }
    // Turns the machine away with 503 from now on; its waiting calls are cut.
    void Refuse() {
      this->refuses = true;
      this->server->KillAll(true);
    }
  };
  Front& AddFront() {
    Front& front = this->fronts.emplace_back();
    front.server = std::make_unique<Server>(
        [this, &front](Channel& channel) { this->Serve(channel, front); });
    front.server->Start();
    return front;
  }
  Store() { this->AddFront(); }
  ~Store() {
    {
      const std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_all();
    for (Front& front : this->fronts) {
      front.server->Stop(false);
    }
  }
  void Put(const string& key, const string& value) {
    const std::lock_guard lock(this->mutex);
    this->items[key] = {value, ++this->revision, false};
    this->changed.notify_all();
  }
  void Remove(const string& key) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->items.find(key);
    if (found != this->items.end() && !found->second.removed) {
      found->second = {"", ++this->revision, true};
      this->changed.notify_all();
    }
  }
  [[nodiscard]] int port() const { return this->fronts.front().port(); }

 private:
  struct Item {
    string value;
    std::uint64_t revision = 0;
    bool removed = false;
  };
  static string Query(const string& target, const string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == string::npos) {
      return "";
    }
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }
  string Entry(const string& key, const Item& item) {
    if (item.removed) {
      return "{\"key\":\"" + key +
             "\",\"rev\":" + std::to_string(item.revision) +
             ",\"removed\":true}";
    }
    const string rev = std::to_string(item.revision);
    return "{\"key\":\"" + key + "\",\"value\":\"" + Base64(item.value) +
           "\",\"rev\":" + rev + ",\"created\":" + rev + ",\"lease\":0}";
  }
  void Serve(Channel& channel, Front& front) {
    while (auto request = ReadHead(channel, 3600)) {
      if (!ReadSized(channel, *request, 10)) {
        return;
      }
      if (front.refuses) {
        channel.Send(
            "HTTP/1.1 503 Service Unavailable\r\nStore-Era: "
            "1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const string target = request->Target();
      const string prefix = Query(target, "path_prefix");
      string body;
      int status = 200;
      if (target.starts_with("/kv-range")) {
        SleepMs(4);
        const std::lock_guard lock(this->mutex);
        string entries;
        for (const auto& [key, item] : this->items) {
          if (key.starts_with(prefix) && !item.removed) {
            entries += (entries.empty() ? "" : ",") + this->Entry(key, item);
          }
        }
        body = "{\"entries\":[" + entries +
               "],\"more_pages\":false,\"as_of\":" +
               std::to_string(this->revision) + "}";
      } else if (target.starts_with("/kv-watch")) {
        const std::uint64_t after = std::stoull(Query(target, "after"));
        const auto until =
            Clock::now() +
            std::chrono::milliseconds(std::stoll(Query(target, "wait_ms")));
        std::unique_lock lock(this->mutex);
        string events;
        const auto collect = [&] {
          events.clear();
          for (const auto& [key, item] : this->items) {
            if (key.starts_with(prefix) && item.revision > after) {
              events += (events.empty() ? "" : ",") + this->Entry(key, item);
            }
          }
          return !events.empty() || this->stopping;
        };
        const int is_configuration = prefix.starts_with("op") ? 1 : 0;
        front.open_watches += is_configuration;
        this->changed.wait_until(lock, until, collect);
        front.open_watches -= is_configuration;
        body = "{\"events\":[" + events +
               "],\"as_of\":" + std::to_string(this->revision) + "}";
      } else {
        status = 404;
        body = "{}";
      }
      if (!channel.Send("HTTP/1.1 " + std::to_string(status) +
                        " OK\r\nContent-Type: application/json\r\nStore-Era: "
                        "1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }
  std::mutex mutex;
  std::condition_variable changed;
  std::map<string, Item> items;
  std::uint64_t revision = 10;
  bool stopping = false;
  std::list<Front> fronts;
};

struct Run {
  string id;
  string engine;
  string service;
  string version;
  double at = 0;
};

// All that ran at any engine.
class Runs {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(this->mutex);
    this->all.push_back(run);
  }
  std::vector<Run> All() {
    const std::lock_guard lock(this->mutex);
    return this->all;
  }

 private:
  std::mutex mutex;
  std::vector<Run> all;
};
inline Runs runs;

struct EngineOptions {
  string id;
  string service;
  string version = "v1";
  int slots = 64;
  int queue = -1;        // Requests that may wait; -1: any number.
  double work_ms = 60;   // Of requests that aren't streams.
  int events = 70;       // Of a stream.
  double event_ms = 20;  // Between two events.
  double heartbeat_ms = 1200;
};

// An engine. It registers itself in the store and renews its entry.
class Engine {
 public:
  Engine(Store& store, EngineOptions options)
      : store(store),
        options(std::move(options)),
        server([this](Channel& channel) { this->Serve(channel); }) {}
  ~Engine() { this->Crash(); }

  void Start() {
    this->born = UnixMs();
    this->seq = 0;
    this->alive = true;
    this->server.Start();
    this->Register();
    record.Line("engine " + this->options.id + " starts, version " +
                this->options.version + ", born " + std::to_string(this->born));
    this->heart = std::thread([this] {
      double next = Now() + this->options.heartbeat_ms / 1000;
      while (this->alive) {
        SleepMs(5);
        if (Now() >= next && this->alive) {
          this->Register();
          next = Now() + this->options.heartbeat_ms / 1000;
        }
      }
    });
  }
  // Ends without a word; all its channels are reset.
  void Crash() {
    if (!this->alive.exchange(false)) {
      return;
    }
    record.Line("engine " + this->options.id + " crashes");
    this->server.Stop(true);
    this->heart.join();
  }
  void Register() {
    const string state = this->draining ? "draining" : "ready";
    this->store.Put(
        "servers/" + this->options.id,
        "{\"service\":\"" + this->options.service + "\",\"address\":\"" +
            this->address() + "\",\"zone\":\"z1\",\"version\":\"" +
            this->options.version + "\",\"slots\":" +
            std::to_string(this->options.slots) + ",\"state\":\"" + state +
            "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(++this->seq) +
            ",\"born\":" + std::to_string(this->born) + "}");
  }
  [[nodiscard]] string address() const {
    return "127.0.0.1:" + std::to_string(this->server.port);
  }
  // Waits until the engine renews its entry.
  void AwaitRenewal() {
    const int before = this->seq;
    while (this->seq == before) {
      SleepMs(1);
    }
  }

  Store& store;
  EngineOptions options;
  std::atomic<bool> draining = false;
  // Called with each request that the engine is about to run.
  std::function<void(const Message&)> on_run;
  // While set, no run writes anything; it goes on afterwards.
  std::atomic<bool> silent = false;
  std::atomic<int> running = 0;

 private:
  [[nodiscard]] string Common(const Message& request) {
    return "Rosemarycove-Request-Id: " +
           request.Field("rosemarycove-request-id") +
           "\r\nRosemarycove-Engine-Load: " + std::to_string(this->running) +
           ",0," + std::to_string(this->options.slots) + "\r\n";
  }
  void Serve(Channel& channel) {
    while (auto request = ReadHead(channel, 3600)) {
      if (!ReadSized(channel, *request, 10) ||
          !this->Answer(channel, *request)) {
        return;
      }
    }
  }
  bool Answer(Channel& channel, const Message& request) {
    const string id = request.Field("rosemarycove-request-id");
    const string expected = request.Field("rosemarycove-expect-instance");
    if (!expected.empty() && expected != this->options.id) {
      record.Line("engine " + this->options.id + " doesn't run " + id +
                  ", which expects " + expected);
      return channel.Send(
          "HTTP/1.1 421 Misdirected Request\r\nRosemarycove-Instance-Id: " +
          this->options.id + "\r\n" + this->Common(request) +
          "Content-Length: 0\r\n\r\n");
    }
    if (this->options.queue >= 0 &&
        this->running >= this->options.slots + this->options.queue) {
      record.Line("engine " + this->options.id + " is full and doesn't run " +
                  id);
      const string slots = std::to_string(this->options.slots);
      return channel.Send(
          "HTTP/1.1 503 Service Unavailable\r\nRosemarycove-Not-Executed: "
          "1\r\nRosemarycove-Request-Id: " +
          id + "\r\nRosemarycove-Engine-Load: " + slots + ",0," + slots +
          "\r\nContent-Length: 0\r\n\r\n");
    }
    const string last = request.Field("last-event-id");
    record.Line("engine " + this->options.id + " (" + this->options.service +
                ", " + this->options.version + ") runs " + id + " " +
                request.start.substr(0, request.start.rfind(' ')) +
                (last.empty() ? "" : " after event " + last));
    runs.Add({id, this->options.id, this->options.service,
              this->options.version, Now()});
    if (this->on_run) {
      this->on_run(request);
    }
    const string seal =
        "Rosemarycove-Server-Seal: " + this->options.id + "." + id + "\r\n";
    ++this->running;
    const bool is_stream = !request.Field("rosemarycove-model").empty();
    const bool kept = is_stream ? this->Stream(channel, request, seal)
                                : this->Reply(channel, request, seal);
    --this->running;
    return kept;
  }
  bool Reply(Channel& channel, const Message& request, const string& seal) {
    SleepMs(this->options.work_ms);
    const string body = this->options.service + " has done " +
                        request.Field("rosemarycove-request-id") + "\n";
    return channel.Send("HTTP/1.1 200 OK\r\n" + this->Common(request) + seal +
                        "Content-Type: text/plain\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  bool Stream(Channel& channel, const Message& request, const string& seal) {
    if (!channel.Send("HTTP/1.1 200 OK\r\n" + this->Common(request) + seal +
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n")) {
      return false;
    }
    const int first = std::atoi(request.Field("last-event-id").c_str()) + 1;
    for (int i = first; i <= this->options.events; ++i) {
      SleepMs(this->options.event_ms);
      while (this->silent) {
        SleepMs(1);
      }
      // What is written names the version that wrote it.
      const string event = "id: " + std::to_string(i) +
                           "\ndata: " + this->options.version + "/" +
                           this->options.id + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!this->alive || channel.IsClosed() ||
          !channel.Send(size + event + "\r\n")) {
        return false;
      }
    }
    return channel.Send("0\r\n\r\n");
  }
  std::atomic<bool> alive = false;
  std::atomic<std::int64_t> born = 0;
  std::atomic<int> seq = 0;
  Server server;
  std::thread heart;
};

// A gateway process with the command of the deploy file.
class Gateway {
 public:
  Gateway(const string& name, int store_port, const string& folder)
      : name(name), folder(folder), store_port(store_port) {
    this->front = FreePort();
    this->ready = FreePort();
    this->control = FreePort();
    this->relay = FreePort();
  }
  ~Gateway() { this->End(); }

  void Start(const std::vector<string>& seeds, const string& zone = "z1") {
    const string path = this->folder + "/" + this->name + ".toml";
    std::FILE* file = std::fopen(path.c_str(), "w");
    string list;
    for (const string& seed : seeds) {
      list += (list.empty() ? "" : ",") + ("\"" + seed + "\"");
    }
    std::fprintf(
        file,
        "node_name = \"%s\"\nrole = \"gateway\"\nmachine_class = \"edge\"\n"
        "serves = [\"edge\",\"ctrl\"]\nip = \"127.0.0.1\"\nzone = \"%s\"\n"
        "region = \"r1\"\nport_range = [%d,%d]\nseeds = [%s]\n"
        "bootstrap = true\nheartbeat_ms = 1200\n"
        "[listen]\nfront = \"127.0.0.1:%d\"\nready_addr = \"127.0.0.1:%d\"\n"
        "control_addr = \"127.0.0.1:%d\"\n"
        "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n"
        "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
        "[bounds]\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n"
        "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n"
        "config_apply_ms = 2000\nrollback_slack_ms = 250\nouter_ms = 5000\n"
        "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\n"
        "recover_s = 12\npass_ms = 120\n"
        "[platform]\naddress = \"127.0.0.1:%d\"\nform = \"kv\"\n",
        this->name.c_str(), zone.c_str(), this->relay, this->relay,
        list.c_str(), this->front, this->ready, this->control,
        this->store_port);
    std::fclose(file);
    const string log = this->folder + "/" + this->name + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
      // No process outlives the case.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("ROSEMARYCOVE_BOOT", path.c_str(), 1);
      const char* program = std::getenv("GATEWAY");
      if (program == nullptr) {
        program = "target/rosemarycove";
      }
      ::execl(program, program, "gateway", static_cast<char*>(nullptr));
      ::_exit(127);
    }
    record.Line("gateway " + this->name + " starts");
  }
  // Waits until GET /readyz gets 200.
  bool AwaitReady(double timeout_s) {
    const double until = Now() + timeout_s;
    while (Now() < until) {
      const int fd = stage::Connect(this->ready);
      if (fd >= 0) {
        Channel channel(fd);
        channel.Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto head = ReadHead(channel, 1);
        if (head && head->Status() == 200) {
          return true;
        }
      }
      SleepMs(50);
    }
    return false;
  }
  void Signal(int number) {
    record.Line("gateway " + this->name + " gets signal " +
                std::to_string(number));
    ::kill(this->pid, number);
  }
  // Returns the wait status if the process has ended.
  std::optional<int> Ended() {
    int status = 0;
    if (this->pid > 0 && ::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      return status;
    }
    return std::nullopt;
  }
  void End() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  [[nodiscard]] string seed() const {
    return "127.0.0.1:" + std::to_string(this->control);
  }

  string name;
  int front = 0;
  int ready = 0;
  int control = 0;
  int relay = 0;
  pid_t pid = -1;

 private:
  string folder;
  int store_port;
};

struct Answer {
  int status = 0;  // 0: no head came.
  Message head;
  string body;
  bool complete = false;
  bool reset = false;
  bool timed_out = false;
  std::vector<string> events;  // "ID VERSION/ENGINE"
  string last_id;
};

// Reads an answer to its end; calls on_event at each event of a stream.
inline Answer ReadAnswer(Channel& channel, double timeout_s,
                         const std::function<void(int)>& on_event = {}) {
  Answer answer;
  const double until = Now() + timeout_s;
  const auto left = [&] { return std::max(0.001, until - Now()); };
  const auto head = ReadHead(channel, timeout_s);
  if (!head) {
    answer.reset = channel.was_reset;
    answer.timed_out = channel.timed_out;
    return answer;
  }
  answer.head = *head;
  answer.status = head->Status();
  if (head->Field("transfer-encoding") != "chunked") {
    answer.complete = ReadSized(channel, answer.head, left());
    answer.body = answer.head.body;
    return answer;
  }
  string pending;
  const auto parse = [&] {
    std::size_t end = 0;
    while ((end = pending.find("\n\n")) != string::npos) {
      const string event = pending.substr(0, end);
      pending.erase(0, end + 2);
      const std::size_t data = event.find("\ndata: ");
      if (event.starts_with("id: ") && data != string::npos) {
        answer.last_id = event.substr(4, data - 4);
        answer.events.push_back(answer.last_id + " " + event.substr(data + 7));
        if (on_event) {
          on_event(static_cast<int>(answer.events.size()));
        }
      }
    }
  };
  while (true) {
    std::size_t line = 0;
    while ((line = channel.buffer.find("\r\n")) == string::npos) {
      if (!channel.Receive(left())) {
        answer.reset = channel.was_reset;
        answer.timed_out = channel.timed_out;
        return answer;
      }
    }
    const std::size_t size = std::strtoul(channel.buffer.c_str(), nullptr, 16);
    while (channel.buffer.size() < line + 2 + size + 2) {
      if (!channel.Receive(left())) {
        answer.reset = channel.was_reset;
        answer.timed_out = channel.timed_out;
        return answer;
      }
    }
    const string bytes = channel.buffer.substr(line + 2, size);
    channel.buffer.erase(0, line + 2 + size + 2);
    if (size == 0) {
      answer.complete = true;
      return answer;
    }
    answer.body += bytes;
    pending += bytes;
    parse();
  }
}

inline double RetryAfter(const Answer& answer) {
  return std::strtod(answer.head.Field("retry-after").c_str(), nullptr);
}

// A temporary folder for the settings and logs of the gateways. It is removed
// at the end, unless KEEP_FILES is set.
inline string temporary_folder;
inline string FolderForFiles() {
  string path =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(path.data()) == nullptr) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  temporary_folder = path;
  return path;
}

// Ends the case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
// run.
[[noreturn]] inline void Finish(int status, const string& text) {
  record.Line("result " + std::to_string(status) + ": " + text);
  std::printf("%s\n", text.c_str());
  std::fflush(stdout);
  if (std::getenv("KEEP_FILES") == nullptr && !temporary_folder.empty()) {
    std::error_code ignored;
    std::filesystem::remove_all(temporary_folder, ignored);
  }
  std::_Exit(status);
}

}  // namespace stage
