// Tests of the frames of fleet reports and of fleet links on the loopback
// address.
#include <boost/asio/steady_timer.hpp>
#include <ctime>
#include <string>
#include <string_view>

#include "core/backend_directory.h"
#include "net/clock.h"
#include "net/fleet_links.h"
#include "proxy/event_splitter.h"
#include "wire/fleet_codec.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// Records the calls of the links.
class RecordingReportHandler : public FleetReportHandler {
 public:
  FleetReport MakeReport() override {
    return {.is_draining = this->is_draining,
            .configuration_revision = 7,
            .unreachable_services = this->unreachable_services};
  }
  void AddMissingDocuments(const FleetPeer&, FleetReport&) override {}
  void OnRoundSent() override {}
  void OnReport(const FleetPeer& peer, const FleetReport& report) override {
    this->reported_by.insert(peer.identity.instance);
    this->addresses_told += report.peer_addresses.size();
  }
  void OnPeerStatusChange(const FleetPeer& peer, PeerStatus status) override {
    this->changes.emplace_back(peer.identity.instance, status);
  }

  // Sent in the reports.
  bool is_draining = false;
  std::vector<std::uint64_t> unreachable_services;
  std::set<std::string> reported_by;
  std::size_t addresses_told = 0;
  std::vector<std::pair<std::string, PeerStatus>> changes;
};

// The links of one instance. All instances share an event loop.
struct Instance {
  Instance(boost::asio::io_context& io, const std::string& name,
           std::vector<std::string> seeds)
      : links(io,
              {.self = {.instance = name,
                        .address = "127.0.0.1:0",
                        .data_centre = "centre-" + name,
                        .relay_address = "127.0.0.1:9"},
               .seeds = std::move(seeds)},
              handler) {}

  RecordingReportHandler handler;
  FleetLinks links;
};

// Runs the event loop with a tick for each instance until the condition is
// true. Returns false after 10 seconds.
template <typename Condition>
bool RunUntil(boost::asio::io_context& io, std::vector<Instance*> instances,
              Condition condition) {
  const auto start = MonotonicNow();
  while (MonotonicNow() - start < std::chrono::seconds(10)) {
    if (condition()) {
      return true;
    }
    for (Instance* instance : instances) {
      instance->links.Tick(MonotonicNow());
    }
    boost::asio::steady_timer timer(io, std::chrono::milliseconds(20));
    timer.async_wait([&io](boost::system::error_code) { io.stop(); });
    io.restart();
    io.run();
  }
  return false;
}

// A report of the release before instances relayed requests: of instance "a",
// with configuration version 6 and 23 known peers.
constexpr std::string_view kOlderReport =
    "c800000034000000300034000400080000001c00240000000000000000000000"
    "0c00100014000000000000000000000000002c00000018003000000001000000"
    "580000002c000000240000002800000017000000050000000000000009000000"
    "000000000600000000000000000000000000000001000000040000000b000000"
    "3132372e302e302e313a320000000a001000040008000c000a00000028000000"
    "1400000004000000050000006e6f7274680000000b0000003132372e302e302e"
    "313a31000100000061000000";

std::string FromHex(std::string_view digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(
        std::stoi(std::string(digits.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

}  // namespace

TEST_GROUP(FleetLinks){};

TEST(FleetLinks, DecodesEveryEncodedField) {
  const FleetReport report{
      .identity = InstanceIdentity{"a", "127.0.0.1:1", "north", "127.0.0.1:3",
                                   1'250'000},
      .is_draining = true,
      .configuration_revision = 5,
      .configuration_version = 6,
      .configuration_hash = 31,
      .takes_configuration_updates = true,
      .wants_configuration = true,
      .is_configuration_only = true,
      .directory_revision = 9,
      .directory_age = std::chrono::milliseconds(120),
      .server_loads = {{.server_hash = 3,
                        .load = {.running = 1,
                                 .prefill_tokens = 2,
                                 .kv_tokens = 3,
                                 .long_prefill_tokens = 4,
                                 .gap_sensitive_streams = 5}}},
      .partitions = {{.service_hash = 4, .reserved_share = 0.25}},
      .rate_limits = {{.server_hash = 6,
                       .observation = 2,
                       .per_second = 1.9,
                       .age = std::chrono::milliseconds(30),
                       .sent = 7,
                       .refused_tier = 0},
                      {.server_hash = 7, .observation = 1}},
      .cached_parts = {21, 22},
      .known_peer_count = 23,
      .unreachable_services = {24, 25},
      .brittle_servers = {{.server_hash = 24,
                           .tolerated = 0,
                           .age = std::chrono::milliseconds(40),
                           .rejected = 2,
                           .room = 9},
                          {.server_hash = 25}},
      .admission = {.promises = {{.identity = 26,
                                  .remaining = std::chrono::milliseconds(450)}},
                    .demands = {{.service_hash = 27,
                                 .tier = 1,
                                 .customer = 28,
                                 .count = 2.5}},
                    .refusals = {{.service_hash = 27,
                                  .tolerates_pauses = true,
                                  .urgency = {.tier = 1, .route_tier = 2},
                                  .count = 3}}},
      .speed_samples = {{.server = 26, .ratio = 1.25, .weight = 1.5}},
      .peer_addresses = {"127.0.0.1:2"},
      .configuration_update =
          ConfigurationUpdate{.key = "c",
                              .revision = 5,
                              .base_hash = 32,
                              .hash = 33,
                              .size = 34,
                              .bytes = std::string("\0y", 2)},
      .configuration =
          SharedDocument{
              .key = "c", .revision = 5, .value = std::string("\0x", 2)},
      .directory_update = {
          .base_revision = 8,
          .is_snapshot = true,
          .documents = {{.key = "s", .revision = 9, .is_removed = true}}}};
  std::string bytes = EncodeFleetFrame(report) + "rest";
  const auto frame = DecodeFleetFrame(bytes);
  const FleetReport& decoded = **frame;
  CHECK(decoded.identity == report.identity);
  CHECK(decoded.is_draining);
  CHECK_EQUAL(5U, decoded.configuration_revision);
  CHECK_EQUAL(6U, decoded.configuration_version);
  CHECK_EQUAL(31U, decoded.configuration_hash);
  CHECK(decoded.takes_configuration_updates);
  CHECK(decoded.wants_configuration);
  CHECK(decoded.is_configuration_only);
  CHECK(*decoded.configuration_update == *report.configuration_update);
  CHECK_EQUAL(9U, decoded.directory_revision);
  CHECK(decoded.directory_age == report.directory_age);
  CHECK(decoded.server_loads.at(0).load == report.server_loads.at(0).load);
  DOUBLES_EQUAL(0.25, decoded.partitions.at(0).reserved_share, 0);
  const RateLimitReport& limit = decoded.rate_limits.at(0);
  CHECK_EQUAL(6U, limit.server_hash);
  CHECK_EQUAL(2U, limit.observation);
  DOUBLES_EQUAL(1.9, *limit.per_second, 0);
  CHECK(limit.age == report.rate_limits.at(0).age);
  CHECK_EQUAL(7, limit.sent);
  CHECK_EQUAL(0, *limit.refused_tier);
  CHECK(!decoded.rate_limits.at(1).per_second);
  CHECK(!decoded.rate_limits.at(1).refused_tier);
  CHECK(decoded.cached_parts == report.cached_parts);
  CHECK_EQUAL(report.known_peer_count, decoded.known_peer_count);
  CHECK(decoded.unreachable_services == report.unreachable_services);
  const AdmissionReport& admission = decoded.admission;
  CHECK_EQUAL(26U, admission.promises.at(0).identity);
  CHECK(admission.promises.at(0).remaining == std::chrono::milliseconds(450));
  CHECK_EQUAL(27U, admission.demands.at(0).service_hash);
  CHECK_EQUAL(1, admission.demands.at(0).tier);
  CHECK_EQUAL(28U, admission.demands.at(0).customer);
  DOUBLES_EQUAL(2.5, admission.demands.at(0).count, 1e-6);
  CHECK_EQUAL(27U, admission.refusals.at(0).service_hash);
  CHECK(admission.refusals.at(0).tolerates_pauses);
  CHECK(admission.refusals.at(0).urgency ==
        (Urgency{.tier = 1, .route_tier = 2}));
  CHECK_EQUAL(3, admission.refusals.at(0).count);
  CHECK(decoded.speed_samples == report.speed_samples);
  const BrittlenessReport& brittle = decoded.brittle_servers.at(0);
  CHECK_EQUAL(24U, brittle.server_hash);
  CHECK_EQUAL(0, *brittle.tolerated);
  CHECK(brittle.age == report.brittle_servers.at(0).age);
  CHECK_EQUAL(2, brittle.rejected);
  CHECK_EQUAL(9, brittle.room);
  CHECK(!decoded.brittle_servers.at(1).tolerated);
  CHECK(decoded.peer_addresses == report.peer_addresses);
  CHECK(decoded.configuration->value == report.configuration->value);
  CHECK_EQUAL(8U, decoded.directory_update.base_revision);
  CHECK(decoded.directory_update.is_snapshot &&
        decoded.directory_update.documents.at(0).is_removed);
  STRCMP_EQUAL("rest", bytes.c_str());
}

// Guards against the instances with the slowest links reading from the store
// for all others, and sending them what they read.
TEST(FleetLinks, InstancesWithFastLinksReadForTheOthers) {
  const InstanceIdentity fast{.instance = "f", .link_bytes_per_second = 1000};
  const InstanceIdentity fast_too{.instance = "g",
                                  .link_bytes_per_second = 1000};
  const InstanceIdentity slow{.instance = "s", .link_bytes_per_second = 10};
  const InstanceIdentity unknown{.instance = "u"};
  CHECK(PrecedesAsReader(fast, slow));
  CHECK(!PrecedesAsReader(slow, fast));
  CHECK(PrecedesAsReader(slow, unknown));
  CHECK(PrecedesAsReader(fast, fast_too) != PrecedesAsReader(fast_too, fast));
  CHECK(!PrecedesAsReader(fast, fast));
}

TEST(FleetLinks, OlderReportNamesNoRelayAddress) {
  std::string bytes = FromHex(kOlderReport);
  const auto frame = DecodeFleetFrame(bytes);
  CHECK(frame.has_value() && frame->has_value());
  const FleetReport& decoded = **frame;
  CHECK(decoded.identity == (InstanceIdentity{.instance = "a",
                                              .address = "127.0.0.1:1",
                                              .data_centre = "north"}));
  CHECK_EQUAL(6U, decoded.configuration_version);
  CHECK_EQUAL(23U, decoded.known_peer_count);
  CHECK(decoded.unreachable_services.empty());
  // While all is in reach, a report costs no more than before.
  FleetReport report = decoded;
  CHECK_EQUAL(kOlderReport.size() / 2, EncodeFleetFrame(report).size());
  report.unreachable_services = {1};
  CHECK(EncodeFleetFrame(report).size() <= kOlderReport.size() / 2 + 24);
}

TEST(FleetLinks, RejectsMalformedFrames) {
  std::string bytes = EncodeFleetFrame({});
  bytes[bytes.size() / 2] = static_cast<char>(0x7f);
  bytes.replace(4, 4, "\xff\xff\xff\x7f");
  CHECK(!DecodeFleetFrame(bytes).has_value());
  std::string too_long("\xff\xff\xff\xff....");
  CHECK(!DecodeFleetFrame(too_long).has_value());
}

TEST(FleetLinks, InstancesDiscoverEachOtherThroughOneSeedAndDetectAnEnd) {
  boost::asio::io_context io;
  auto a = std::make_unique<Instance>(io, "a", std::vector<std::string>{});
  CHECK(!a->links.Start().has_value());
  const std::string seed = "127.0.0.1:" + std::to_string(a->links.port());
  Instance b(io, "b", {seed});
  Instance c(io, "c", {seed});
  for (Instance* instance : {&b, &c}) {
    CHECK(!instance->links.Start().has_value());
  }
  CHECK(RunUntil(io, {a.get(), &b, &c}, [&] {
    return b.handler.reported_by.contains("c") &&
           c.handler.reported_by.contains("b") &&
           a->handler.reported_by.size() == 2;
  }));
  CHECK_EQUAL(2, b.links.live_peer_count());
  a.reset();
  CHECK(RunUntil(io, {&b, &c}, [&] { return b.links.live_peer_count() == 1; }));
  CHECK(b.links.SilentDataCentres().empty());
}

TEST(FleetLinks, PeersTellWhichServicesTheyCannotReach) {
  boost::asio::io_context io;
  Instance a(io, "a", {});
  CHECK(!a.links.Start().has_value());
  Instance b(io, "b", {"127.0.0.1:" + std::to_string(a.links.port())});
  CHECK(!b.links.Start().has_value());
  const auto heard = [&a](const std::vector<std::uint64_t>& services) {
    const auto peers = a.links.ServingPeers();
    return peers.size() == 1 &&
           peers[0]->identity.relay_address == "127.0.0.1:9" &&
           peers[0]->unreachable_services == services;
  };
  CHECK(RunUntil(io, {&a, &b}, [&] { return heard({}); }));
  b.handler.unreachable_services = {7};
  CHECK(RunUntil(io, {&a, &b}, [&] { return heard({7}); }));
  b.handler.unreachable_services.clear();
  CHECK(RunUntil(io, {&a, &b}, [&] { return heard({}); }));
  // A draining peer is heard, but serves no more; neither does a silent one.
  b.handler.is_draining = true;
  CHECK(RunUntil(io, {&a, &b}, [&] { return a.links.ServingPeers().empty(); }));
  CHECK_EQUAL(1, a.links.live_peer_count());
  b.handler.is_draining = false;
  CHECK(RunUntil(io, {&a, &b}, [&] { return heard({}); }));
  CHECK(RunUntil(io, {&a}, [&] { return a.links.ServingPeers().empty(); }));
}

TEST(FleetLinks, SplitsEventsWhereverTheDataIsCut) {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4\nda";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    EventSplitter splitter;
    std::string complete = splitter.Feed(stream.substr(0, cut));
    complete += splitter.Feed(stream.substr(cut));
    STRCMP_EQUAL(stream.substr(0, stream.size() - 8).c_str(), complete.c_str());
    STRCMP_EQUAL("3", splitter.last_id().c_str());
    CHECK_EQUAL(3, splitter.event_count());
  }
}

// Guards against lists of addresses that all instances send to all others: in a
// large fleet they fill the links.
TEST(FleetLinks, FewTellAddressesToEachInstance) {
  constexpr std::size_t kInstances = 24;
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Instance>> fleet;
  fleet.push_back(
      std::make_unique<Instance>(io, "i0", std::vector<std::string>{}));
  CHECK(!fleet[0]->links.Start().has_value());
  const std::string seed =
      "127.0.0.1:" + std::to_string(fleet[0]->links.port());
  std::vector<Instance*> instances = {fleet[0].get()};
  for (std::size_t i = 1; i < kInstances; ++i) {
    fleet.push_back(std::make_unique<Instance>(io, "i" + std::to_string(i),
                                               std::vector<std::string>{seed}));
    instances.push_back(fleet[i].get());
    CHECK(!fleet[i]->links.Start().has_value());
  }
  CHECK(RunUntil(io, instances, [&] {
    return std::all_of(fleet.begin(), fleet.end(), [](const auto& instance) {
      return instance->links.live_peer_count() == kInstances - 1;
    });
  }));
  // A little longer than ten rounds of reports.
  const auto end = MonotonicNow() + std::chrono::seconds(3);
  std::size_t told = 0;
  for (Instance* instance : instances) {
    instance->handler.addresses_told = 0;
  }
  CHECK(RunUntil(io, instances, [&] { return MonotonicNow() >= end; }));
  for (const Instance* instance : instances) {
    told += instance->handler.addresses_told;
  }
  CHECK(told > 0);
  CHECK(told <= 4 * kInstances * kInstances);
}

// Guards against a clock that stands still while the machine is suspended: what
// was permitted before would still be permitted.
TEST(FleetLinks, ClockCountsTheTimeInWhichTheMachineIsSuspended) {
  const auto boot_time = [] {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec));
  };
  const TimePoint before = boot_time();
  const TimePoint now = MonotonicNow();
  CHECK(before <= now);
  CHECK(now <= boot_time());
}
