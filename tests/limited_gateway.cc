#include "tests/limited_gateway.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

namespace rosemarycove {

using platform::RawConnection;
using platform::RawServer;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// One in this many clients sends its whole body; the others stop just short of
// the end and stay open.
constexpr std::size_t kWholeBodies = 10;
constexpr std::size_t kMissingBytes = 3;
// A crowd has sent what it can once the gateway has taken no byte for this
// time, or after the second time in any case.
constexpr milliseconds kQuietTime{3000};
constexpr milliseconds kMaxCrowdTime{60000};
// A caller sends its request again after a refusal, a broken connection or this
// time without a response.
constexpr int kMaxTries = 40;
constexpr milliseconds kRetryPause{250};
constexpr timeval kResponseTimeout{.tv_sec = 5, .tv_usec = 0};

std::string MakeTemporaryFolder() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "limited-gateway-XXXXXX")
          .string();
  return ::mkdtemp(folder.data()) == nullptr ? std::string() : folder;
}

std::string RouteDocument(const std::string& name) {
  return fmt::format(
      R"({{"name":"{0}","hostname":"site.example","path_prefix":"/{0}/",)"
      R"("type":"safe","timeout_ms":30000,"slo_ms":30000,"priority":2,)"
      R"("service":"{1}","attempts":2,"public":true}})",
      name == "uploads" ? "upload" : name, name);
}

// Returns a blocking connection to the port; -1 if it can't be opened.
int OpenConnection(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

}  // namespace

CrowdClient::CrowdClient(int port, std::string head, bool is_slow_reader)
    : head(std::move(head)), descriptor(OpenConnection(port)) {
  this->is_open = this->descriptor >= 0;
  if (is_slow_reader) {
    const int buffer_bytes = 4096;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                 sizeof(buffer_bytes));
  }
  ::fcntl(this->descriptor, F_SETFL, O_NONBLOCK);
}

CrowdClient::~CrowdClient() { ::close(this->descriptor); }

bool CrowdClient::SendSome(const std::string& body, std::size_t body_bytes,
                           std::size_t count) {
  const std::size_t head_bytes = this->head.size();
  const bool in_head = this->sent < head_bytes;
  const std::size_t begin = in_head ? this->sent : this->sent - head_bytes;
  const std::size_t end =
      in_head ? head_bytes : std::min(body_bytes, begin + count);
  if (!this->is_open || begin >= end) {
    return false;
  }
  const std::string& source = in_head ? this->head : body;
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

LimitedGateway::LimitedGateway(RawServer::Handler upload_handler,
                               LimitedGatewayOptions chosen_options,
                               RawServer::Handler ordinary_handler)
    : options(chosen_options),
      folder(MakeTemporaryFolder()),
      uploads(std::move(upload_handler)),
      ordinary(ordinary_handler ? std::move(ordinary_handler) : AnswerRequests),
      process(GATEWAY_PROGRAM, this->folder, "g1",
              {soak::FindFreePorts(soak::GatewayPorts::kCount)}, {}) {
  this->store.Put("op/config", this->Configuration());
  this->AddServer("upload-1", "uploads", this->uploads.address());
  this->AddServer("ordinary-1", "ordinary", this->ordinary.address());
  this->process.WriteSettings(this->store.address(), {},
                              std::chrono::seconds(2));
  std::ofstream(this->folder + "/g1.toml", std::ios::app)
      << fmt::format("[limits]\nmemory_mb = {}\nmax_fds = {}\n",
                     this->options.memory_mb, this->options.max_descriptors);
  if (this->options.has_unread_log) {
    const std::string log = this->folder + "/g1.log";
    ::mkfifo(log.c_str(), 0600);
    // The process could not open the pipe otherwise.
    this->unread_log = ::open(log.c_str(), O_RDWR | O_CLOEXEC);
  }
  this->process.Start();
  for (int i = 0; i < kMaxTries && !this->process.IsReady(); ++i) {
    std::this_thread::sleep_for(kRetryPause);
  }
  // Nothing is held yet, and the servers are known.
  this->is_answered_before = this->AnswersOrdinaryRequest();
}

LimitedGateway::~LimitedGateway() {
  this->process.Signal(SIGKILL);
  this->process.Wait(std::chrono::seconds(5));
  if (this->unread_log >= 0) {
    ::close(this->unread_log);
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

void LimitedGateway::CheckSurvives(const CrowdPlan& plan) {
  const Crowd crowd = this->SendCrowd(plan);
  this->CheckServes();
}

Crowd LimitedGateway::SendCrowd(const CrowdPlan& plan) {
  Crowd clients;
  const int port = plan.through_relay
                       ? soak::GatewayPorts{this->process.caller_port()}.relay()
                       : this->process.caller_port();
  for (int i = 0; i < plan.clients; ++i) {
    clients.push_back(std::make_unique<CrowdClient>(
        port, plan.is_silent ? "" : RequestHead(plan, i), plan.slow_readers));
  }
  this->SendBodies(plan, clients);
  return clients;
}

void LimitedGateway::CheckServes() {
  const bool answered = this->AnswersOrdinaryRequest();
  this->RecordUsage();
  const bool is_alive = !this->process.Wait(milliseconds(0));
  // For measurements.
  if (std::getenv("SHOW_USAGE") != nullptr) {
    fmt::print("peak {} MB, {} descriptors, alive {}, answered {}\n",
               this->peak.memory_mb, this->peak.descriptors, is_alive,
               answered);
  }
  CHECK_TRUE(this->is_answered_before);
  CHECK_TRUE(is_alive);
  CHECK_TRUE(answered);
  CHECK_COMPARE(this->peak.memory_mb, <, this->options.memory_mb);
  CHECK_COMPARE(this->peak.descriptors, <, this->options.max_descriptors);
}

std::string LimitedGateway::Configuration() const {
  return fmt::format(
      R"({{"version":1,"routes":[{},{}],"services":[)"
      R"({{"name":"uploads","max_conns":512}},)"
      R"({{"name":"ordinary","max_conns":512}}],)"
      R"("limits":{{"max_header_bytes":{},"max_body_bytes":{},)"
      R"("header_timeout_ms":20000,"idle_timeout_ms":{}}},)"
      R"("tenants":[{{"name":"customer-1","api_keys":["key-1"]}}]}})",
      RouteDocument("uploads"), RouteDocument("ordinary"),
      this->options.max_header_bytes, this->options.max_body_bytes,
      this->options.idle_timeout.count());
}

std::string LimitedGateway::RequestHead(const CrowdPlan& plan, int client) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: site.example\r\n"
      "Rosemarycove-Request-Id: crowd-{}\r\n"
      "Rosemarycove-Deadline-Ms: 30000\r\n{}{}\r\n",
      plan.path, client,
      plan.through_relay ? "Relay-From: g2\r\nRelay-Age-Ms: 0\r\n"
                           "Relay-Possible-Executions: 0\r\n"
                         : "",
      plan.fields);
}

void LimitedGateway::AddServer(const std::string& id,
                               const std::string& service,
                               const std::string& address) {
  this->store.Put(
      "servers/" + id,
      fmt::format(R"({{"service":"{}","address":"{}","zone":"here",)"
                  R"("version":"v1","slots":512,"state":"ready","born":1,)"
                  R"("cold_left_ms":0,"seq":1}})",
                  service, address));
}

void LimitedGateway::SendBodies(const CrowdPlan& plan, const Crowd& clients) {
  const auto begin = steady_clock::now();
  auto last_sent = begin;
  auto now = begin;
  while (now - last_sent < kQuietTime && now - begin < kMaxCrowdTime) {
    bool any = false;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      const bool is_whole = plan.all_whole || i % kWholeBodies == 0;
      const std::size_t missing = is_whole ? 0 : kMissingBytes;
      any |= clients[i]->SendSome(
          plan.body, plan.body.size() - std::min(plan.body.size(), missing),
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

void LimitedGateway::RecordUsage() {
  const soak::ProcessUsage usage = this->process.Usage();
  this->peak.memory_mb = std::max(this->peak.memory_mb, usage.memory_mb);
  this->peak.descriptors = std::max(this->peak.descriptors, usage.descriptors);
}

milliseconds LimitedGateway::ProcessorTime() const {
  return this->process.Usage().processor_time;
}

std::unique_ptr<RawConnection> LimitedGateway::Connect() const {
  const int descriptor = OpenConnection(this->process.caller_port());
  if (descriptor < 0) {
    return nullptr;
  }
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &kResponseTimeout,
               sizeof(kResponseTimeout));
  return std::make_unique<RawConnection>(descriptor);
}

bool LimitedGateway::IsServed(RawConnection& connection,
                              const std::string& request) {
  return connection.Send(request) &&
         connection.ReadMessage().value_or("").starts_with("HTTP/1.1 200");
}

bool LimitedGateway::AnswersOrdinaryRequest() const {
  for (int i = 0; i < kMaxTries; ++i) {
    const auto connection = this->Connect();
    if (connection &&
        IsServed(*connection, PlatformFixture::Request(
                                  "/ordinary/", "ordinary-" + std::to_string(i),
                                  "", "hello"))) {
      return true;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

void AnswerRequests(RawConnection& connection) {
  while (const auto request = connection.ReadMessage()) {
    connection.Send(EngineResponse(*request, "done"));
  }
}

RawServer::Handler AnswerWhen(std::atomic<bool>& flag) {
  return [&flag](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      while (!flag) {
        std::this_thread::sleep_for(milliseconds(20));
      }
      connection.Send(EngineResponse(*request, "done"));
    }
  };
}

std::string LengthField(std::size_t bytes) {
  return fmt::format("Content-Length: {}\r\n", bytes);
}

}  // namespace rosemarycove
