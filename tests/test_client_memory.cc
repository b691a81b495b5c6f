// Tests of the memory that callers and servers can make a gateway hold. The
// gateway runs as a process with a low memory limit, beside a crowd of clients
// whose bodies together exceed that limit.
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/standins/raw_server.h"
#include "platform/standins/store_standin.h"
#include "tests/gateway_fixture.h"
#include "tests/soak/gateway_process.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * kKilobyte;
// Settings `limits.memory_mb` and `limits.max_fds`, which the process must
// keep.
constexpr int kMemoryMegabytes = 64;
constexpr int kMaxDescriptors = 900;
// `max_body_bytes` of the configuration.
constexpr std::size_t kMaxBodyBytes = kMegabyte;
// Their bodies of legal size exceed the memory limit.
constexpr int kClients = 100;
// One in this many clients sends its whole body; the others stop just short of
// the end and stay open.
constexpr int kWholeBodies = 10;
constexpr std::size_t kMissingBytes = 3;

// A crowd has sent what it can once the gateway has taken no byte for this
// time, or after the second time in any case.
constexpr milliseconds kQuietTime{3000};
constexpr milliseconds kMaxCrowdTime{60000};
// A caller sends its request again after a refusal or a broken connection.
constexpr int kMaxTries = 40;
constexpr milliseconds kRetryPause{250};

// A client's connection that never blocks.
class Client {
 public:
  Client(int port, std::string bytes, bool is_slow_reader)
      : bytes(std::move(bytes)) {
    this->descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (is_slow_reader) {
      const int buffer_bytes = 4096;
      ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                   sizeof(buffer_bytes));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    this->is_open =
        ::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0;
    ::fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
  }
  ~Client() { ::close(this->descriptor); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Sends the head or up to `count` bytes of the body that follows it. Returns
  // whether any were sent.
  bool SendSome(const std::string& body, std::size_t body_bytes,
                std::size_t count) {
    const std::size_t head_bytes = this->bytes.size();
    const bool in_head = this->sent < head_bytes;
    const std::size_t begin = in_head ? this->sent : this->sent - head_bytes;
    const std::size_t end =
        in_head ? head_bytes : std::min(body_bytes, begin + count);
    if (!this->is_open || begin >= end) {
      return false;
    }
    const std::string& source = in_head ? this->bytes : body;
    const ssize_t taken = ::send(this->descriptor, source.data() + begin,
                                 end - begin, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (taken < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      this->is_open = false;
    }
    if (taken <= 0) {
      return false;
    }
    this->sent += static_cast<std::size_t>(taken);
    return true;
  }

 private:
  std::string bytes;
  int descriptor = -1;
  std::size_t sent = 0;
  bool is_open = false;
};

// What each client of a crowd sends.
struct CrowdPlan {
  std::string path = "/upload/";
  // Fields of the head that tell the length of the body.
  std::string framing_fields;
  std::string body;
  int clients = kClients;
  // Bytes of one write; fewer than the whole body send it piece by piece.
  std::size_t piece_bytes = 256 * kKilobyte;
  // All clients send their bodies to the end.
  bool all_whole = false;
  // The clients have small receive buffers and never read.
  bool slow_readers = false;
  // The clients connect where other instances relay requests.
  bool through_relay = false;
};

std::string MakeTemporaryFolder() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "client-memory-XXXXXX")
          .string();
  return ::mkdtemp(folder.data()) == nullptr ? std::string() : folder;
}

// A store, a server for uploads, one for ordinary requests, and a gateway with
// low limits.
class LimitedGateway {
 public:
  explicit LimitedGateway(RawServer::Handler upload_handler)
      : folder(MakeTemporaryFolder()),
        uploads(std::move(upload_handler)),
        ordinary([](RawConnection& connection) {
          while (const auto request = connection.ReadMessage()) {
            connection.Send(EngineResponse(*request, "done"));
          }
        }),
        process(GATEWAY_PROGRAM, this->folder, "g1",
                {soak::FindFreePorts(soak::GatewayPorts::kCount)}, {}) {
    this->store.Put("op/config", Configuration());
    this->AddServer("upload-1", "uploads", this->uploads.address());
    this->AddServer("ordinary-1", "ordinary", this->ordinary.address());
    this->process.WriteSettings(this->store.address(), {},
                                std::chrono::seconds(2));
    std::ofstream(this->folder + "/g1.toml", std::ios::app)
        << fmt::format("[limits]\nmemory_mb = {}\nmax_fds = {}\n",
                       kMemoryMegabytes, kMaxDescriptors);
    this->process.Start();
    for (int i = 0; i < kMaxTries && !this->process.IsReady(); ++i) {
      std::this_thread::sleep_for(kRetryPause);
    }
    // Nothing is held yet, and the servers are known.
    this->is_answered_before = this->AnswersOrdinaryRequest();
  }
  ~LimitedGateway() {
    this->process.Signal(SIGKILL);
    this->process.Wait(std::chrono::seconds(5));
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  LimitedGateway(const LimitedGateway&) = delete;
  LimitedGateway& operator=(const LimitedGateway&) = delete;

  // Checks that the process lives within its limits beside the crowd, and then
  // answers an ordinary request while the crowd is still connected.
  void CheckSurvives(const CrowdPlan& plan) {
    CHECK_TRUE(this->is_answered_before);
    std::vector<std::unique_ptr<Client>> clients;
    const int port = plan.through_relay
                         ? soak::GatewayPorts{this->FirstPort()}.relay()
                         : this->process.caller_port();
    for (int i = 0; i < plan.clients; ++i) {
      clients.push_back(std::make_unique<Client>(port, RequestHead(plan, i),
                                                 plan.slow_readers));
    }
    this->SendBodies(plan, clients);
    const bool answered = this->AnswersOrdinaryRequest();
    this->RecordUsage();
    const bool is_alive = !this->process.Wait(milliseconds(0));
    // For measurements.
    if (std::getenv("SHOW_USAGE") != nullptr) {
      fmt::print("peak {} MB, {} descriptors, alive {}, answered {}\n",
                 this->peak.memory_mb, this->peak.descriptors, is_alive,
                 answered);
    }
    CHECK_TRUE(is_alive);
    CHECK_TRUE(answered);
    CHECK_COMPARE(this->peak.memory_mb, <, kMemoryMegabytes);
    CHECK_COMPARE(this->peak.descriptors, <, kMaxDescriptors);
  }

 private:
  static std::string Route(const std::string& name) {
    return fmt::format(
        R"({{"name":"{0}","hostname":"site.example","path_prefix":"/{0}/",)"
        R"("type":"safe","timeout_ms":30000,"slo_ms":30000,"priority":2,)"
        R"("service":"{1}","attempts":2,"public":true}})",
        name == "uploads" ? "upload" : name, name);
  }
  static std::string Configuration() {
    return fmt::format(
        R"({{"version":1,"routes":[{},{}],"services":[)"
        R"({{"name":"uploads","max_conns":512}},)"
        R"({{"name":"ordinary","max_conns":512}}],)"
        R"("limits":{{"max_header_bytes":8192,"max_body_bytes":{},)"
        R"("header_timeout_ms":20000,"idle_timeout_ms":60000}},)"
        R"("tenants":[{{"name":"customer-1","api_keys":["key-1"]}}]}})",
        Route("uploads"), Route("ordinary"), kMaxBodyBytes);
  }
  static std::string RequestHead(const CrowdPlan& plan, int client) {
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: site.example\r\n"
        "Rosemarycove-Request-Id: crowd-{}\r\n"
        "Rosemarycove-Deadline-Ms: 30000\r\n{}{}\r\n",
        plan.path, client,
        plan.through_relay ? "Relay-From: g2\r\nRelay-Age-Ms: 0\r\n"
                             "Relay-Possible-Executions: 0\r\n"
                           : "",
        plan.framing_fields);
  }

  void AddServer(const std::string& id, const std::string& service,
                 const std::string& address) {
    this->store.Put(
        "servers/" + id,
        fmt::format(R"({{"service":"{}","address":"{}","zone":"here",)"
                    R"("version":"v1","slots":512,"state":"ready","born":1,)"
                    R"("cold_left_ms":0,"seq":1}})",
                    service, address));
  }
  [[nodiscard]] int FirstPort() const { return this->process.caller_port(); }

  void SendBodies(const CrowdPlan& plan,
                  const std::vector<std::unique_ptr<Client>>& clients) {
    const auto begin = steady_clock::now();
    auto last_sent = begin;
    auto now = begin;
    while (now - last_sent < kQuietTime && now - begin < kMaxCrowdTime) {
      bool any = false;
      for (std::size_t i = 0; i < clients.size(); ++i) {
        const bool is_whole = plan.all_whole || i % kWholeBodies == 0;
        any |= clients[i]->SendSome(
            plan.body, plan.body.size() - (is_whole ? 0 : kMissingBytes),
            plan.piece_bytes);
      }
      this->RecordUsage();
      if (!any) {
        std::this_thread::sleep_for(milliseconds(5));
      }
      now = steady_clock::now();
      last_sent = any ? now : last_sent;
    }
  }

  void RecordUsage() {
    const soak::ProcessUsage usage = this->process.Usage();
    this->peak.memory_mb = std::max(this->peak.memory_mb, usage.memory_mb);
    this->peak.descriptors =
        std::max(this->peak.descriptors, usage.descriptors);
  }

  [[nodiscard]] bool AnswersOrdinaryRequest() const {
    for (int i = 0; i < kMaxTries; ++i) {
      const auto connection =
          RawConnection::Connect(this->process.caller_port());
      if (connection &&
          connection->Send(PlatformFixture::Request(
              "/ordinary/", "ordinary-" + std::to_string(i), "", "hello")) &&
          connection->ReadMessage().value_or("").starts_with("HTTP/1.1 200")) {
        return true;
      }
      std::this_thread::sleep_for(kRetryPause);
    }
    return false;
  }

  std::string folder;
  StoreStandin store;
  RawServer uploads;
  RawServer ordinary;
  soak::GatewayProcess process;
  soak::ProcessUsage peak;
  bool is_answered_before = false;
};

void AnswerUploads(RawConnection& connection) {
  while (const auto request = connection.ReadMessage()) {
    connection.Send(EngineResponse(*request, "stored"));
  }
}

std::string LengthField(std::size_t bytes) {
  return fmt::format("Content-Length: {}\r\n", bytes);
}

std::string ChunkedBody(std::size_t bytes, std::size_t chunk_bytes) {
  const std::string chunk = Chunk(std::string(chunk_bytes, 'x'));
  std::string body;
  for (std::size_t at = 0; at < bytes; at += chunk_bytes) {
    body += chunk;
  }
  return body + "0\r\n\r\n";
}

// Ends what waits for the flag when a test ends, also after a failed check.
class FlagOnExit {
 public:
  explicit FlagOnExit(std::atomic<bool>& flag) : flag(flag) {}
  ~FlagOnExit() { this->flag = true; }
  FlagOnExit(const FlagOnExit&) = delete;
  FlagOnExit& operator=(const FlagOnExit&) = delete;

 private:
  std::atomic<bool>& flag;
};

constexpr char kChunkedField[] = "Transfer-Encoding: chunked\r\n";

}  // namespace

TEST_GROUP(ClientMemory){};

// Trailer fields after a chunked body were held without a limit.
TEST(ClientMemory, EndlessTrailers) {
  constexpr int kTrailerClients = 24;
  constexpr std::size_t kTrailerBytes = 4 * kMegabyte;
  std::string body = Chunk("x") + "0\r\n";
  while (body.size() < kTrailerBytes) {
    body += "X-Trailer: " + std::string(200, 't') + "\r\n";
  }
  LimitedGateway gateway(AnswerUploads);
  gateway.CheckSurvives({.framing_fields = kChunkedField,
                         .body = body,
                         .clients = kTrailerClients});
}

// Incomplete bodies were not counted, however many there were.
TEST(ClientMemory, LargeBodiesSentWhole) {
  LimitedGateway gateway(AnswerUploads);
  gateway.CheckSurvives({.framing_fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x')});
}

TEST(ClientMemory, LargeBodiesSentPieceByPiece) {
  LimitedGateway gateway(AnswerUploads);
  gateway.CheckSurvives({.framing_fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x'),
                         .piece_bytes = 4 * kKilobyte});
}

// The same where other instances relay requests.
TEST(ClientMemory, LargeBodiesThroughRelay) {
  LimitedGateway gateway(AnswerUploads);
  gateway.CheckSurvives({.framing_fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x'),
                         .through_relay = true});
}

TEST(ClientMemory, LargeChunks) {
  LimitedGateway gateway(AnswerUploads);
  gateway.CheckSurvives({.framing_fields = kChunkedField,
                         .body = ChunkedBody(kMaxBodyBytes, 32 * kKilobyte)});
}

TEST(ClientMemory, ChunksOfOneByte) {
  LimitedGateway gateway(AnswerUploads);
  gateway.CheckSurvives({.framing_fields = kChunkedField,
                         .body = ChunkedBody(kMaxBodyBytes / 2, 1),
                         .clients = 2 * kClients});
}

// Each response may wait in the gateway until its caller reads.
TEST(ClientMemory, CallersThatDoNotRead) {
  constexpr std::size_t kResponseBytes = 16 * kMegabyte;
  LimitedGateway gateway([](RawConnection& connection) {
    const std::string block(256 * kKilobyte, 'x');
    while (const auto request = connection.ReadMessage()) {
      std::string response = EngineResponse(*request, "");
      const std::string length = "Content-Length: 0\r\n";
      response.replace(response.find(length), length.size(),
                       LengthField(kResponseBytes));
      bool is_open = connection.Send(response);
      for (std::size_t sent = 0; is_open && sent < kResponseBytes;
           sent += block.size()) {
        is_open = connection.Send(block);
      }
    }
  });
  gateway.CheckSurvives({.framing_fields = LengthField(1),
                         .body = "x",
                         .clients = 2 * kClients,
                         .all_whole = true,
                         .slow_readers = true});
}

// A request was held twice: for another attempt, and as the bytes to be sent.
TEST(ClientMemory, ServersThatDoNotRead) {
  std::atomic<bool> has_ended = false;
  LimitedGateway gateway([&has_ended](RawConnection& connection) {
    connection.ReadBytes(1);
    while (!has_ended) {
      std::this_thread::sleep_for(milliseconds(20));
    }
  });
  const FlagOnExit end(has_ended);
  gateway.CheckSurvives({.framing_fields = LengthField(kMaxBodyBytes),
                         .body = std::string(kMaxBodyBytes, 'x'),
                         .all_whole = true});
}
