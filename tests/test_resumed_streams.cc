// Tests of streams that go on after a break while servers of several software
// versions serve.
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr int kEventCount = 4;
// Longer than two reports between instances.
constexpr auto kReportTime = std::chrono::milliseconds(400);
// Longer than a read of the directory and its relay.
constexpr auto kDirectoryTime = std::chrono::milliseconds(1500);
constexpr int kResumptions = 6;
// Longer than the silence after which a stream goes on elsewhere.
constexpr auto kSilence = std::chrono::milliseconds(1200);

// A server of the model service with a software version. It breaks each stream
// off after the second event, unless it resumes one.
class VersionedServer {
 public:
  VersionedServer(PlatformFixture& platform, std::string id,
                  std::string version, bool breaks_off)
      : platform(platform),
        id(std::move(id)),
        version(std::move(version)),
        breaks_off(breaks_off),
        server([this](RawConnection& connection) { this->Serve(connection); }) {
    this->Register("ready");
  }

  void Register(const std::string& state) {
    this->platform.store.Put(
        "servers/" + this->id,
        fmt::format(R"({{"service":"model","address":"{}","zone":"here",)"
                    R"({}"slots":8,"state":"{}","born":1,"seq":1}})",
                    this->server.address(),
                    this->version.empty()
                        ? ""
                        : fmt::format(R"("version":"{}",)", this->version),
                    state));
  }
  void Unregister() { this->platform.store.Remove("servers/" + this->id); }
  void set_breaks_off(bool value) { this->breaks_off = value; }
  // Makes the server silent for this long after the second event.
  void set_pause(std::chrono::milliseconds value) { this->pause = value; }
  [[nodiscard]] int run_count() const { return this->runs; }

 private:
  void Serve(RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      ++this->runs;
      const std::string last = HeaderValue(*request, "Last-Event-Id");
      const int first = last.empty() ? 1 : std::stoi(last) + 1;
      connection.Send(StreamResponseHead(*request));
      for (int i = first; i <= kEventCount; ++i) {
        if (this->breaks_off && last.empty() && i == 3) {
          connection.Reset();
          return;
        }
        if (i == 3) {
          std::this_thread::sleep_for(this->pause.load());
        }
        connection.Send(
            Chunk(fmt::format("id: {}\ndata: {}\n\n", i, this->version)));
        // Separates the last bytes from the reset.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      connection.Send("0\r\n\r\n");
    }
  }

  PlatformFixture& platform;
  std::string id;
  std::string version;
  std::atomic<bool> breaks_off;
  std::atomic<std::chrono::milliseconds> pause{};
  std::atomic<int> runs = 0;
  RawServer server;
};

// A platform whose model service has only the servers that the test adds.
class VersionedPlatform : public PlatformFixture {
 public:
  VersionedPlatform() : PlatformFixture([](RawConnection&) {}) {
    this->store.Remove("servers/engine-1");
  }
};

// Sends a request for a stream; returns all that comes up to the end of the
// response, or of the connection.
std::string ReadStream(const RunningGateway& gateway, const std::string& id,
                       const std::string& extra_fields = "") {
  const auto connection = gateway.Connect();
  // The bodies differ, so that the broken streams don't count as one request
  // that crashes servers.
  connection->Send(PlatformFixture::Request("/stream/x", id, extra_fields, id));
  const std::string head = connection->ReadUntil("\r\n\r\n");
  if (!head.starts_with("HTTP/1.1 200")) {
    return head;
  }
  return head + connection->ReadUntil("0\r\n\r\n");
}

bool IsComplete(const std::string& response) {
  return response.starts_with("HTTP/1.1 200") &&
         response.ends_with("0\r\n\r\n");
}

bool IsRefused(const std::string& response) {
  return response.starts_with("HTTP/1.1 503") &&
         !HeaderValue(response, "Retry-After").empty();
}

// The fields of a request that resumes a stream after its second event.
std::string Resumes(const std::string& id) {
  return "Last-Event-Id: 2\r\nResumes: " + id + "\r\n";
}

// Waits until an instance sends a new stream to this server.
void AwaitUse(const RunningGateway& gateway, const VersionedServer& server) {
  const int before = server.run_count();
  for (int i = 0; i < 200 && server.run_count() == before; ++i) {
    ReadStream(gateway, fmt::format("warm-{}", i));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

}  // namespace

TEST_GROUP(ResumedStreams){};

// Guards against a stream that goes on, within one response, at a server of
// another software version than the one that began it.
TEST(ResumedStreams, BrokenStreamDoesNotGoOnAtAnotherVersion) {
  VersionedPlatform platform;
  VersionedServer old_server(platform, "old", "v1", true);
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  AwaitUse(gateway, old_server);
  VersionedServer new_server(platform, "new", "v2", false);
  AwaitUse(gateway, new_server);
  for (int i = 0; i < kResumptions; ++i) {
    const std::string response = ReadStream(gateway, fmt::format("r{}", i));
    const bool has_old = response.find("data: v1") != std::string::npos;
    const bool has_new = response.find("data: v2") != std::string::npos;
    CHECK(!(has_old && has_new));
    CHECK(has_new == IsComplete(response));
  }
}

// Guards against a stream that is broken off although another server of its
// version could go on with it.
TEST(ResumedStreams, BrokenStreamGoesOnAtItsVersion) {
  VersionedPlatform platform;
  VersionedServer first(platform, "first", "v1", true);
  VersionedServer second(platform, "second", "v1", true);
  VersionedServer other(platform, "other", "v2", false);
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  for (int i = 0; i < kResumptions; ++i) {
    const std::string response = ReadStream(gateway, fmt::format("r{}", i));
    CHECK(IsComplete(response));
    const bool has_old = response.find("data: v1") != std::string::npos;
    const bool has_new = response.find("data: v2") != std::string::npos;
    CHECK(has_old != has_new);
  }
}

// Guards against a stream that is broken off because its server is silent for a
// while, although no other server could go on with it.
TEST(ResumedStreams, SilenceDoesNotEndAStreamThatNoOtherServerCanGoOnWith) {
  VersionedPlatform platform;
  VersionedServer old_server(platform, "old", "v1", false);
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  AwaitUse(gateway, old_server);
  VersionedServer new_server(platform, "new", "v2", false);
  std::this_thread::sleep_for(kDirectoryTime);
  old_server.set_pause(kSilence);
  new_server.set_pause(kSilence);
  const std::string response = ReadStream(gateway, "r1");
  CHECK(IsComplete(response));
  const bool has_old = response.find("data: v1") != std::string::npos;
  const bool has_new = response.find("data: v2") != std::string::npos;
  CHECK(has_old != has_new);
}

// Guards against a stream that its caller resumes at another instance, and that
// goes on there at another software version.
TEST(ResumedStreams, CallerResumesAtTheVersionThatBeganTheStream) {
  VersionedPlatform platform;
  VersionedServer old_server(platform, "old", "v1", true);
  RunningGateway first("a", platform.store.address());
  RunningGateway second("b", platform.store.address(), {first.peers_address()});
  first.AwaitReady();
  second.AwaitReady();
  std::this_thread::sleep_for(kReportTime);
  // The stream begins before the other version appears.
  const std::string begun = ReadStream(first, "begun");
  CHECK(begun.find("data: v1") != std::string::npos);
  CHECK(!IsComplete(begun));
  VersionedServer new_server(platform, "new", "v2", false);
  AwaitUse(second, new_server);
  std::this_thread::sleep_for(kReportTime);
  old_server.set_breaks_off(false);
  for (int i = 0; i < kResumptions; ++i) {
    for (const RunningGateway* gateway : {&first, &second}) {
      const std::string response =
          ReadStream(*gateway, fmt::format("again-{}", i), Resumes("begun"));
      CHECK(IsComplete(response));
      CHECK(response.find("data: v1") != std::string::npos);
    }
  }
}

// Guards against a resumed stream that is sent to another version once the
// servers of its own are gone, in place of a refusal.
TEST(ResumedStreams, StreamOfAVersionThatIsGoneIsRefused) {
  VersionedPlatform platform;
  VersionedServer old_server(platform, "old", "v1", true);
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(!IsComplete(ReadStream(gateway, "begun")));
  VersionedServer new_server(platform, "new", "v2", false);
  AwaitUse(gateway, new_server);
  old_server.Unregister();
  std::this_thread::sleep_for(kDirectoryTime);
  const int runs = new_server.run_count();
  CHECK(IsRefused(ReadStream(gateway, "again", Resumes("begun"))));
  LONGS_EQUAL(runs, new_server.run_count());
}

// Guards against streams that are joined from two versions after a restart of
// all instances, which know nothing of the streams before.
TEST(ResumedStreams, StreamsOfUnknownVersionAreRefusedAfterARestartOfAll) {
  VersionedPlatform platform;
  VersionedServer old_server(platform, "old", "v1", true);
  {
    RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    CHECK(!IsComplete(ReadStream(gateway, "begun")));
  }
  // Two versions serve, then the old one has just left.
  VersionedServer new_server(platform, "new", "v2", false);
  for (const bool old_is_there : {true, false}) {
    if (!old_is_there) {
      old_server.Unregister();
    }
    RunningGateway gateway("a", platform.store.address());
    gateway.AwaitReady();
    const int runs = new_server.run_count();
    for (int i = 0; i < kResumptions; ++i) {
      CHECK(IsRefused(
          ReadStream(gateway, fmt::format("again-{}", i), Resumes("begun"))));
    }
    LONGS_EQUAL(runs, new_server.run_count());
    // New streams are served.
    AwaitUse(gateway, new_server);
    CHECK(new_server.run_count() > runs);
  }
}

// Guards against streams of servers that name no version and are resumed at
// others that name none either.
TEST(ResumedStreams, ServersWithoutAVersionShareNone) {
  VersionedPlatform platform;
  VersionedServer first(platform, "first", "", true);
  RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(!IsComplete(ReadStream(gateway, "begun")));
  VersionedServer second(platform, "second", "", false);
  AwaitUse(gateway, second);
  first.Unregister();
  std::this_thread::sleep_for(kDirectoryTime);
  const int runs = second.run_count();
  CHECK(IsRefused(ReadStream(gateway, "again", Resumes("begun"))));
  LONGS_EQUAL(runs, second.run_count());
}
