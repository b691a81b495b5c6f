// Tests that gateways report usage to a stand-in for the platform API.
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform/standins/duty_standin.h"
#include "proxy/endpoint.h"
#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using nlohmann::json;
using platform::DutyCallRecord;
using platform::DutyStandin;
using platform::RawConnection;

platform::DutySettings MakeDuties(const DutyStandin& api) {
  return {.api = *ParseTcpEndpoint(api.address()),
          .options = {.reports_usage = true,
                      .lease = std::chrono::milliseconds(900),
                      .usage_window = std::chrono::seconds(1),
                      .usage_due = std::chrono::seconds(4)}};
}

void ServeOnce(RawConnection& connection) {
  while (const auto request = connection.ReadMessage()) {
    connection.Send(EngineResponse(*request, "done"));
  }
}

// Returns the sum of the reported requests; checks that no window was reported
// twice with different counts.
std::uint64_t ReportedRequests(DutyStandin& api) {
  std::map<std::int64_t, std::string> body_by_window;
  std::uint64_t sum = 0;
  for (const DutyCallRecord& call : api.calls()) {
    if (call.path != "/usage" || call.status != 200) {
      continue;
    }
    const json body = json::parse(call.body);
    const auto [first, is_new] =
        body_by_window.emplace(body.at("window_id"), call.body);
    STRCMP_EQUAL(first->second.c_str(), call.body.c_str());
    for (const auto& [customer, requests] : body.at("counts").items()) {
      STRCMP_EQUAL("customer-1", customer.c_str());
      sum += is_new ? requests.get<std::uint64_t>() : 0;
    }
  }
  return sum;
}

// Waits until this many requests are reported; returns the number.
std::uint64_t AwaitReported(DutyStandin& api, std::uint64_t requests) {
  constexpr int kMaxTries = 400;
  std::uint64_t reported = 0;
  for (int i = 0; i < kMaxTries && reported < requests; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    reported = ReportedRequests(api);
  }
  return reported;
}

}  // namespace

TEST_GROUP(DutyGateways){};

// Guards against requests that no report has, or two of them, across a planned
// stop and the end of a holder.
TEST(DutyGateways, ReportTheRequestsOfAllInstances) {
  DutyStandin api;
  PlatformFixture fixture(ServeOnce);
  std::vector<std::unique_ptr<RunningGateway>> gateways;
  std::vector<std::string> seeds;
  for (int i = 0; i < 3; ++i) {
    gateways.push_back(std::make_unique<RunningGateway>(
        "edge-" + std::to_string(i), fixture.store.address(), seeds,
        std::chrono::seconds(8), AddressMap(), MakeDuties(api)));
    gateways.back()->AwaitReady();
    seeds.push_back(gateways.back()->peers_address());
  }
  const auto holder = [&]() -> std::unique_ptr<RunningGateway>* {
    for (int i = 0; i < 400; ++i) {
      for (auto& gateway : gateways) {
        if (gateway && gateway->MetricValue("rosemarycove_duty_holder") == 1) {
          return &gateway;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return nullptr;
  };
  CHECK(holder() != nullptr);
  std::uint64_t sent = 0;
  const auto send = [&](int count) {
    for (int i = 0; i < count; ++i) {
      for (auto& gateway : gateways) {
        if (gateway) {
          ++sent;
          const std::string path = i % 2 == 0 ? "/once/" : "/again/";
          CHECK(gateway
                    ->SendRequest(PlatformFixture::Request(
                        path + "x", "r-" + std::to_string(sent)))
                    .starts_with("HTTP/1.1 200"));
        }
      }
    }
  };
  send(20);
  LONGS_EQUAL(sent, AwaitReported(api, sent));
  // A planned stop of the holder, with requests just before.
  send(10);
  auto* const stopping = holder();
  (*stopping)->DrainAndWait();
  stopping->reset();
  send(10);
  LONGS_EQUAL(sent, AwaitReported(api, sent));
  std::set<std::uint64_t> tokens;
  std::map<std::uint64_t, std::string> holders;
  for (const DutyCallRecord& call : api.calls()) {
    tokens.insert(call.token);
    const auto [first, is_new] = holders.emplace(call.token, call.holder);
    STRCMP_EQUAL(first->second.c_str(), call.holder.c_str());
  }
  LONGS_EQUAL(2, tokens.size());
}

// Guards against calls and report fields of instances without duties.
TEST(DutyGateways, NothingWithoutSettings) {
  PlatformFixture fixture(ServeOnce);
  RunningGateway gateway("edge-0", fixture.store.address());
  gateway.AwaitReady();
  LONGS_EQUAL(-1, gateway.MetricValue("rosemarycove_duty_holder"));
  gateway.RunOnEventLoop([](Gateway&) {});
  LONGS_EQUAL(0, fixture.store.call_count("/kv-key", ""));
  LONGS_EQUAL(0, fixture.store.call_count("/kv-lease", ""));
}
