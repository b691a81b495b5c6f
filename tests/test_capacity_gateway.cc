// Tests of the demand for engines that a gateway measures, over sockets, and of
// its reports.
#include <fmt/format.h>

#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include "core/load_ledger.h"
#include "tests/gateway_fixture.h"
#include "wire/fleet_codec.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

const std::uint64_t kModel = IdHash("model");
constexpr int kSlots = 8;  // As PlatformFixture::AddServer registers.

// One model service with an urgent and another route.
std::string Configuration(const std::string& scaling) {
  const auto route = [](const std::string& name, int tier) {
    return fmt::format(
        R"({{"name":"{0}","hostname":"site.example","path_prefix":"/{0}/",)"
        R"("type":"streaming","timeout_ms":20000,"slo_ms":500,"priority":{1},)"
        R"("service":"model","attempts":1,"public":true,)"
        R"("gap_target_ms":400}})",
        name, tier);
  };
  return R"({"version":2,"routes":[)" + route("chat", 0) + "," +
         route("review", 2) +
         R"(],"services":[{"name":"model","max_conns":64,)"
         R"("engine":{"slots":8,"kv_tokens":1000000,"stride":4})" +
         scaling + R"(}],"limits":{}})";
}

std::string StreamRequest(const std::string& path, const std::string& id) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: site.example\r\n"
      "Rosemarycove-Request-Id: {}\r\nRosemarycove-Token-Count: 2000,100\r\n"
      "Content-Length: 0\r\n\r\n",
      path, id);
}

// Keeps requests running whose path ends in "hold".
void Respond(RawConnection& connection) {
  while (const auto request = connection.ReadMessage()) {
    connection.Send(StreamResponseHead(*request) + Chunk("id: 1\ndata: a\n\n"));
    if (request->find("/hold ") != std::string::npos) {
      connection.ReadToEnd();
      return;
    }
    connection.Send("0\r\n\r\n");
  }
}

std::string DemandMetric(const std::string& tier, const std::string& part) {
  return fmt::format(
      "rosemarycove_engine_demand{{service=\"model\",tier=\"{}\",part=\"{}\"}}",
      tier, part);
}

}  // namespace

TEST_GROUP(CapacityGateway) {
  PlatformFixture platform{Respond};
  std::unique_ptr<RunningGateway> gateway;
  std::vector<std::unique_ptr<RawConnection>> held;

  void Start(const std::string& scaling) {
    this->platform.store.Put("op/config", Configuration(scaling));
    this->gateway =
        std::make_unique<RunningGateway>("a", this->platform.store.address());
    this->gateway->AwaitReady();
  }
};

// Guards against attempts that aren't counted, or under the wrong tier.
TEST(CapacityGateway, ServedRequestsCountUnderTheirTier) {
  this->Start(R"(,"scaling":{"max":9})");
  STRCMP_CONTAINS(
      "200 OK",
      this->gateway->SendRequest(StreamRequest("/chat/x", "c")).c_str());
  CHECK(this->gateway->MetricValue(DemandMetric("urgent", "busy")) > 0);
  CHECK(this->gateway->MetricValue(DemandMetric("other", "busy")) == 0);
}

// Guards against requests refused for lack of capacity that cause no demand.
TEST(CapacityGateway, RefusedRequestsCount) {
  this->Start(R"(,"scaling":{"max":9})");
  for (int i = 0; i < kSlots; ++i) {
    this->held.push_back(this->gateway->Connect());
    this->held.back()->Send(
        StreamRequest("/chat/hold", "h" + std::to_string(i)));
    STRCMP_CONTAINS("200 OK", this->held.back()->ReadUntil("data: a").c_str());
  }
  STRCMP_CONTAINS(
      " 503 ",
      this->gateway->SendRequest(StreamRequest("/review/x", "r")).c_str());
  CHECK(this->gateway->MetricValue(DemandMetric("other", "unserved")) > 0);
  CHECK(this->gateway->MetricValue(DemandMetric("urgent", "unserved")) == 0);
}

// Guards against a change for deployments whose engines can't be ordered.
TEST(CapacityGateway, WithoutScalingNothingIsMeasured) {
  this->Start("");
  STRCMP_CONTAINS(
      "200 OK",
      this->gateway->SendRequest(StreamRequest("/chat/x", "c")).c_str());
  CHECK(this->gateway->GetStatusPage("/metrics").find("engine_demand") ==
        std::string::npos);
}

TEST_GROUP(DemandReport){static FleetReport SendOver(const FleetReport& report){
    std::string bytes = EncodeFleetFrame(report);
return **DecodeFleetFrame(bytes);
}
}
;

// Guards against demand that is lost on the way, and against a missing field
// being taken for no demand.
TEST(DemandReport, DemandArrivesAndItsAbsenceIsSeen) {
  FleetReport report{.configuration_version = 3};
  CHECK(!SendOver(report).engine_demand.has_value());
  report.engine_demand.emplace();
  CHECK(SendOver(report).engine_demand->empty());
  report.engine_demand = {{.service_hash = kModel,
                           .urgent = {.busy = 1.5, .unserved = 0.25},
                           .other = {.busy = 8, .unserved = 2}}};
  CHECK(SendOver(report).engine_demand == report.engine_demand);
  const std::size_t size_with_one = EncodeFleetFrame(report).size();
  report.engine_demand->push_back({.service_hash = 9});
  LONGS_EQUAL(size_with_one + 24, EncodeFleetFrame(report).size());
}

// Guards against numbers that no instance can have.
TEST(DemandReport, ImpossibleDemandIsLimited) {
  FleetReport report;
  report.engine_demand = {{.service_hash = kModel,
                           .urgent = {.busy = std::nan(""), .unserved = -3},
                           .other = {.busy = 1e30, .unserved = INFINITY}}};
  const EngineDemand received = SendOver(report).engine_demand->front();
  DOUBLES_EQUAL(0, received.urgent.Total(), 0);
  CHECK(received.other.Total() <= 2e4);
}
