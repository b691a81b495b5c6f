// Tests of what a change of the configuration costs the links of the instances.
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/clock.h"
#include "net/fleet_links.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr int kInstances = 8;
constexpr int kChanges = 5;
// Instances that read a change from the store: those that wait for it there,
// and the reader of the directory.
constexpr double kMaxReaders = 3;
// Time between two changes, in which an instance may spend 12 KB a second on
// control (docs/CAPACITY.md).
constexpr milliseconds kChangeInterval(800);
constexpr double kMaxControlBytes = 12'000 * 0.8;
constexpr std::chrono::seconds kMaxWait(10);
// Routes that make the configuration 11 KB and 250 KB large.
constexpr int kFewRoutes = 60;
constexpr int kManyRoutes = 1400;

// Instances of one data centre.
class Fleet {
 public:
  explicit Fleet(const std::string& store_address) {
    std::vector<std::string> seeds;
    for (int index = 0; index < kInstances; ++index) {
      this->gateways.push_back(std::make_unique<RunningGateway>(
          "edge-" + std::to_string(index), store_address, seeds));
      seeds = {this->gateways.front()->peers_address()};
    }
    CHECK(this->AwaitAll("rosemarycove_peers", kInstances - 1));
  }

  [[nodiscard]] bool AwaitVersion(int version) const {
    return this->AwaitAll("rosemarycove_configuration_version", version);
  }

  // The bytes of configurations that the instances sent to each other.
  [[nodiscard]] double SentBytes() const {
    double bytes = 0;
    for (const auto& gateway : this->gateways) {
      bytes +=
          gateway->MetricValue("rosemarycove_configuration_bytes_sent_total");
    }
    return bytes;
  }

 private:
  // Waits until the metric has the value at each instance; returns false if it
  // doesn't in time.
  [[nodiscard]] bool AwaitAll(const std::string& metric, double value) const {
    const TimePoint start = MonotonicNow();
    for (const auto& gateway : this->gateways) {
      while (gateway->MetricValue(metric) != value) {
        if (MonotonicNow() - start > kMaxWait) {
          return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
    return true;
  }

  std::vector<std::unique_ptr<RunningGateway>> gateways;
};

// An instance of the release before configurations were sent as differences. It
// stays at version 1.
class EarlierRelease : public FleetReportHandler {
 public:
  explicit EarlierRelease(const std::string& seed)
      : links(this->io,
              {.self = {.instance = "earlier",
                        .address = "127.0.0.1:0",
                        .data_centre = "here"},
               .seeds = {seed}},
              *this) {}

  // Runs until it has a later configuration; returns false if it never has.
  bool AwaitDocument() {
    CHECK(!this->links.Start());
    const TimePoint start = MonotonicNow();
    while (!this->document) {
      if (MonotonicNow() - start > kMaxWait) {
        return false;
      }
      this->links.Tick(MonotonicNow());
      this->io.restart();
      this->io.run_for(milliseconds(20));
    }
    return true;
  }

  FleetReport MakeReport() override {
    return {.configuration_revision = 1, .configuration_version = 1};
  }
  void AddMissingDocuments(const FleetPeer& /*peer*/,
                           FleetReport& /*report*/) override {}
  void OnRoundSent() override {}
  void OnReport(const FleetPeer& /*peer*/, const FleetReport& report) override {
    this->has_got_update |=
        report.configuration_update.has_value() || report.is_configuration_only;
    if (report.configuration) {
      this->document = report.configuration;
    }
  }
  void OnPeerStatusChange(const FleetPeer& /*peer*/,
                          PeerStatus /*status*/) override {}

  std::optional<SharedDocument> document;
  bool has_got_update = false;

 private:
  boost::asio::io_context io;
  FleetLinks links;
};

// The mean cost of a change.
struct ChangeCost {
  // Bytes that an instance gets from others.
  double relayed_bytes = 0;
  // How many times the store sends the configuration.
  double store_reads = 0;
};

// Changes a configuration with this many routes a few times.
ChangeCost MeasureChanges(int routes) {
  PlatformFixture platform([](RawConnection& /*connection*/) {});
  platform.AddRoutes(routes);
  platform.PutConfiguration(2);
  const Fleet fleet(platform.store.address());
  CHECK(fleet.AwaitVersion(2));
  // Ends the waits that began before the instances knew each other.
  const std::uint64_t size_before = platform.store.read_bytes("op/");
  platform.PutConfiguration(3);
  CHECK(fleet.AwaitVersion(3));
  std::this_thread::sleep_for(kChangeInterval);
  const std::uint64_t read_before = platform.store.read_bytes("op/");
  CHECK(read_before > size_before);
  const double sent_before = fleet.SentBytes();
  for (int version = 4; version < 4 + kChanges; ++version) {
    platform.PutConfiguration(version, false, std::to_string(1000 + version));
    std::this_thread::sleep_for(kChangeInterval);
    CHECK(fleet.AwaitVersion(version));
  }
  const auto read =
      static_cast<double>(platform.store.read_bytes("op/") - read_before);
  return {.relayed_bytes =
              (fleet.SentBytes() - sent_before) / (kChanges * kInstances),
          .store_reads = read / (kChanges * platform.configuration_size())};
}

}  // namespace

TEST_GROUP(ConfigurationRelay){};

// Guards against changes that fill the links of the instances that relay them:
// each of the others got the whole document.
TEST(ConfigurationRelay, ChangesOfASmallConfigurationCostFewBytes) {
  const ChangeCost cost = MeasureChanges(kFewRoutes);
  CHECK(cost.relayed_bytes <= kMaxControlBytes);
  CHECK(cost.store_reads <= kMaxReaders);
}

// Guards against changes that fill the links of all instances: each read the
// whole document from the store.
TEST(ConfigurationRelay, FewInstancesReadChangesOfALargeConfiguration) {
  const ChangeCost cost = MeasureChanges(kManyRoutes);
  CHECK(cost.relayed_bytes <= kMaxControlBytes);
  CHECK(cost.store_reads <= kMaxReaders);
}

// Two builds run side by side while instances are replaced.
TEST(ConfigurationRelay, InstanceOfAnEarlierReleaseGetsWholeDocuments) {
  PlatformFixture platform([](RawConnection& /*connection*/) {});
  platform.PutConfiguration(2);
  const RunningGateway gateway("edge-1", platform.store.address());
  gateway.AwaitReady();
  EarlierRelease earlier(gateway.peers_address());
  CHECK(earlier.AwaitDocument());
  CHECK(earlier.document->value.find(R"("version":2)") != std::string::npos);
  CHECK(!earlier.has_got_update);
}
