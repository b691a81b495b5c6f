// Tests of a gateway whose store has entries that no server wrote.
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>

#include "tests/gateway_fixture.h"
#include "tests/odd_values.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Time within which a change must be in force.
constexpr auto kApplyTime = std::chrono::seconds(2);
constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr int kRequests = 30;
// The servers that the fixture registers.
constexpr int kFixtureServers = 3;

RawServer::Handler AnsweringEngine() {
  return [](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "done"));
    }
  };
}

// Returns the value of a metric; -1 if there is none.
int MetricOf(const RunningGateway& gateway, const std::string& name) {
  const std::string page = gateway.GetStatusPage("/metrics");
  const std::string start = "\n" + name + " ";
  const std::size_t at = page.find(start);
  return at == std::string::npos ? -1
                                 : std::stoi(page.substr(at + start.size()));
}

// Returns whether the metric has the value within the time for a change.
bool Reaches(const RunningGateway& gateway, const std::string& name,
             int value) {
  const auto end = std::chrono::steady_clock::now() + kApplyTime;
  while (MetricOf(gateway, name) != value) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool HasServers(const RunningGateway& gateway, int count) {
  return Reaches(gateway, "rosemarycove_backend_servers", count);
}

bool HasConfiguration(const RunningGateway& gateway, int version) {
  return Reaches(gateway, "rosemarycove_configuration_version", version);
}

// Returns how many requests to the service "stock" are answered.
int CountAnswered(const RunningGateway& gateway, const std::string& id) {
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    answered +=
        static_cast<int>(gateway
                             .SendRequest(PlatformFixture::Request(
                                 "/again/x", fmt::format("{}-{}", id, i)))
                             .starts_with("HTTP/1.1 200"));
  }
  return answered;
}

void PutOddEntries(StoreStandin& store) {
  int number = 0;
  for (const OddValue& odd : OddEntries()) {
    store.Put(fmt::format("servers/odd-{}", ++number), odd.value);
  }
  // Keys that are no ids.
  for (const char* key :
       {"servers/", "servers/a\r\nX: y", "servers/\xc3\xa9"}) {
    store.Put(key, EntryText{}.ToJson());
  }
}

}  // namespace

TEST_GROUP(OddEntries){};

// Guards against one odd entry that names a server, ends the process or stops
// the reading of the list.
TEST(OddEntries, EachAloneNamesNoServerAndTheListIsFollowed) {
  PlatformFixture platform(AnsweringEngine());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  int number = 0;
  for (const OddValue& odd : OddEntries()) {
    platform.store.Put("servers/odd", odd.value);
    platform.AddServer(fmt::format("later-{}", ++number), "stock",
                       platform.engine.address());
    CHECK_TEXT(HasServers(gateway, kFixtureServers + number),
               odd.name.substr(0, 80).c_str());
  }
  CHECK_EQUAL(kRequests, CountAnswered(gateway, "alone"));
}

// The same for many at a time, from the first read on.
TEST(OddEntries, ManyNameNoServerAndTheOthersHold) {
  PlatformFixture platform(AnsweringEngine());
  PutOddEntries(platform.store);
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(HasServers(gateway, kFixtureServers));
  CHECK_EQUAL(kRequests, CountAnswered(gateway, "many"));
  platform.AddServer("later", "stock", platform.engine.address());
  CHECK(HasServers(gateway, kFixtureServers + 1));
}

// Guards against a server that is used after its entry was overwritten by
// another writer.
TEST(OddEntries, OverwrittenEntryNamesNoServerUntilItIsWrittenAgain) {
  PlatformFixture platform(AnsweringEngine());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.store.Put("servers/stock-1",
                     EntryText{.address = "\"127.0.0.1:65536\""}.ToJson());
  CHECK(HasServers(gateway, kFixtureServers - 1));
  platform.AddServer("stock-1", "stock", platform.engine.address());
  CHECK(HasServers(gateway, kFixtureServers));
  CHECK_EQUAL(kRequests, CountAnswered(gateway, "again"));
}

// Guards against odd entries in the reports between instances: megabytes of
// them make a report longer than its receiver takes.
TEST(OddEntries, RelayedOnesNameNoServerAndTheListIsFollowed) {
  PlatformFixture platform(AnsweringEngine());
  PutOddEntries(platform.store);
  StoreStandin unavailable;
  unavailable.SetFault(StoreFault::kUnavailable);
  const RunningGateway reader("a", platform.store.address());
  reader.AwaitReady();
  const RunningGateway receiver("b", unavailable.address(),
                                {reader.peers_address()});
  CHECK(HasServers(receiver, kFixtureServers));
  CHECK(HasConfiguration(receiver, 1));
  CHECK_EQUAL(kRequests, CountAnswered(receiver, "relayed"));
  platform.AddServer("later", "stock", platform.engine.address());
  CHECK(HasServers(receiver, kFixtureServers + 1));
}

// Guards against an odd configuration that is put in force, ends the process,
// or keeps the next one out.
TEST(OddEntries, OddConfigurationIsRefusedAndTheNextOneTaken) {
  PlatformFixture platform(AnsweringEngine());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  int version = 1;
  for (const OddValue& odd : OddConfigurations()) {
    platform.store.Put("op/config", odd.value);
    // The store has given the odd one to the gateway before the next.
    platform.AddServer(fmt::format("later-{}", version), "other",
                       "127.0.0.1:9");
    CHECK(HasServers(gateway, kFixtureServers + version));
    CHECK_EQUAL(version,
                MetricOf(gateway, "rosemarycove_configuration_version"));
    platform.PutConfiguration(++version);
    CHECK_TEXT(HasConfiguration(gateway, version),
               odd.name.substr(0, 80).c_str());
  }
  CHECK_EQUAL(kRequests, CountAnswered(gateway, "configured"));
}

// Guards against another document of the operators being taken for the
// configuration, which would keep the next one out.
TEST(OddEntries, OnlyOneKeyIsTheConfiguration) {
  PlatformFixture platform(AnsweringEngine());
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  platform.store.Put("op/config2", ConfigurationText{.version = "9"}.ToJson());
  platform.store.Put("op/a", ConfigurationText{.version = "8"}.ToJson());
  platform.AddServer("later", "stock", platform.engine.address());
  CHECK(HasServers(gateway, kFixtureServers + 1));
  CHECK_EQUAL(1, MetricOf(gateway, "rosemarycove_configuration_version"));
  platform.PutConfiguration(2);
  CHECK(HasConfiguration(gateway, 2));
}

// Guards against a log line at each heartbeat of an odd entry.
TEST(OddEntries, EachIsReportedOnceWithItsFault) {
  const PlatformServerDecoder decoder;
  BackendDirectory directory(decoder);
  const TimePoint now = std::chrono::steady_clock::now();
  const std::string odd = EntryText{.slots = "\"8\""}.ToJson();
  auto changes = directory.Replace({{.key = "a", .revision = 1, .value = odd}},
                                   1, now, now);
  CHECK_EQUAL(1U, changes.size());
  STRCMP_EQUAL("a", changes[0].server.id.c_str());
  STRCMP_EQUAL("slots is not a number", changes[0].fault.c_str());
  for (std::uint64_t revision = 2; revision < 9; ++revision) {
    changes = directory.Replace(
        {{.key = "a", .revision = revision, .value = odd}}, revision, now, now);
    CHECK(changes.empty());
  }
  // It is reported again if it was readable in between, or gone.
  const std::string valid = EntryText{}.ToJson();
  changes = directory.Apply({{.key = "a", .revision = 9, .value = valid},
                             {.key = "a", .revision = 10, .value = odd},
                             {.key = "a", .revision = 11, .is_removed = true},
                             {.key = "a", .revision = 12, .value = odd}},
                            12, now, now);
  CHECK_EQUAL(3U, changes.size());
  CHECK(changes[0].kind == ServerChangeKind::kAppeared);
  CHECK(changes[1].kind == ServerChangeKind::kUnreadable);
  CHECK(changes[2].kind == ServerChangeKind::kUnreadable);
}

// Guards against odd entries that are relayed at each heartbeat and with values
// of any size.
TEST(OddEntries, EachIsRelayedOnceWithoutItsValue) {
  const PlatformServerDecoder decoder;
  BackendDirectory directory(decoder);
  const TimePoint now = std::chrono::steady_clock::now();
  directory.Replace({{.key = "b", .revision = 1, .value = "odd"}}, 1, now, now);
  directory.Replace({{.key = "b", .revision = 2, .value = "odd"}}, 2, now, now);
  const DirectoryUpdate first = directory.UpdateSince(0);
  CHECK_EQUAL(1U, first.documents.size());
  CHECK_EQUAL(2U, first.documents[0].revision);
  STRCMP_EQUAL("", first.documents[0].value.c_str());
  CHECK(directory.UpdateSince(1).documents.empty());
  BackendDirectory receiver(decoder);
  const auto changes =
      receiver.ApplyUpdate(first, 2, {.reader = 1, .sequence = 1}, now, now);
  CHECK_EQUAL(1U, changes.size());
  CHECK(receiver.servers().empty());
}
