// Tests of the size of the reports between instances, without a network.
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet_report.h"
#include "core/request_quarantine.h"
#include "wire/fleet_codec.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kInstances = 65;
constexpr int kServers = 89;
constexpr Duration kInterval = milliseconds(500);
constexpr Duration kTime = seconds(60);
// Each second, a server fails; its requests are spread over this many
// instances.
constexpr int kInstancesAtACrash = 8;
constexpr int kRequestsAtEach = 2;

// Instances that report their loads and the crashes that they saw to each
// other.
class ReportingFleet {
 public:
  ReportingFleet() {
    for (std::size_t i = 0; i < kInstances; ++i) {
      this->members.push_back(std::make_unique<RequestQuarantine>(i + 1));
    }
    for (int i = 0; i < kServers; ++i) {
      this->loads.push_back({.server_hash = this->random(),
                             .load = {.running = 1, .kv_tokens = 10000}});
    }
  }

  // Returns the bytes that all reports have.
  std::size_t Run(bool servers_crash) {
    std::size_t bytes = 0;
    const TimePoint start = TimePoint{} + std::chrono::hours(1);
    for (TimePoint now = start; now < start + kTime; now += kInterval) {
      if (servers_crash && (now - start) % seconds(1) == Duration{}) {
        this->CrashServer(now);
      }
      for (std::size_t from = 0; from < kInstances; ++from) {
        this->members[from]->Tick(now);
        for (std::size_t to = 0; to < kInstances; ++to) {
          if (to != from) {
            bytes += this->Report(from, to, now);
          }
        }
      }
    }
    return bytes;
  }

 private:
  // Breaks off requests that are all different.
  void CrashServer(TimePoint now) {
    const std::string server = "s" + std::to_string(++this->crashes);
    for (int i = 0; i < kInstancesAtACrash; ++i) {
      RequestQuarantine& member = *this->members[this->random() % kInstances];
      for (int j = 0; j < kRequestsAtEach; ++j) {
        const RequestSuspects suspects{.content_hash = this->random() % 500,
                                       .request_hash = this->random(),
                                       .parts = {this->random() % 50}};
        member.RecordCrash(server, suspects, now - seconds(1), now);
      }
    }
  }
  std::size_t Report(std::size_t from, std::size_t to, TimePoint now) {
    const FleetReport report{
        .server_loads = this->loads,
        .suspected_parts =
            this->members[from]->RecordsSince(this->told[{from, to}], now)};
    this->members[to]->Merge(report.suspected_parts, now);
    return EncodeFleetFrame(report).size();
  }

  std::mt19937_64 random{20261204};
  std::vector<std::unique_ptr<RequestQuarantine>> members;
  std::vector<ServerLoadEntry> loads;
  // The last change that was reported, by sender and receiver.
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> told;
  int crashes = 0;
};

}  // namespace

TEST_GROUP(ReportSize){};

// Guards against the reports of a large fleet filling its links, since each
// instance repeats to all others every crash that any has seen.
TEST(ReportSize, CrashesOfOrdinaryFailuresAddLittle) {
  const std::size_t calm = ReportingFleet().Run(false);
  const std::size_t with_crashes = ReportingFleet().Run(true);
  CHECK(static_cast<double>(with_crashes) <= 1.1 * static_cast<double>(calm));
}

// Guards against an age that an earlier release did not send and that is taken
// for knowledge.
TEST(ReportSize, CarriesTheAgeOfTheConfigurationOrItsAbsence) {
  for (const std::optional<Duration> age :
       {std::optional<Duration>(), std::optional<Duration>(Duration{}),
        std::optional<Duration>(std::chrono::milliseconds(1234))}) {
    std::string frame = EncodeFleetFrame({.configuration_age = age});
    const auto decoded = DecodeFleetFrame(frame);
    CHECK(decoded && *decoded && (*decoded)->configuration_age == age);
  }
}
