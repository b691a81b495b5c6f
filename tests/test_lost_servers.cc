// Tests of a gateway that can't reach the servers of a service.
#include <string>

#include "tests/gateway_fixture.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

// Nothing listens there.
constexpr char kRefusingAddress[] = "127.0.0.1:1";

RawServer::Handler AnsweringServer() {
  return [](RawConnection& connection) {
    while (const auto request = connection.ReadMessage()) {
      connection.Send(EngineResponse(*request, "done"));
    }
  };
}

bool Shows(const RunningGateway& gateway, const std::string& line) {
  return gateway.GetStatusPage("/metrics").find("\n" + line + "\n") !=
         std::string::npos;
}

}  // namespace

TEST_GROUP(LostServers){};

TEST(LostServers, MetricsTellWhichServicesAreOutOfReach) {
  PlatformFixture platform(AnsweringServer());
  platform.AddServer("stock-1", "stock", kRefusingAddress);
  const RunningGateway gateway("a", platform.store.address());
  gateway.AwaitReady();
  CHECK(Shows(gateway, "rosemarycove_services_out_of_reach 0"));
  const auto send = [&gateway](const std::string& path) {
    return gateway.SendRequest(PlatformFixture::Request(path, "r1"));
  };
  for (int i = 0; i < 2; ++i) {
    CHECK(send("/again/x").starts_with("HTTP/1.1 503"));
  }
  CHECK(Shows(gateway, "rosemarycove_services_out_of_reach 1"));
  CHECK(Shows(gateway, "rosemarycove_servers_out_of_reach 1"));
  CHECK(send("/once/x").starts_with("HTTP/1.1 200"));
  CHECK(Shows(gateway, "rosemarycove_services_out_of_reach 1"));

  platform.AddServer("stock-1", "stock", platform.engine.address());
  CHECK(gateway.SendRequestUntil(PlatformFixture::Request("/again/x", "r2"),
                                 "HTTP/1.1 200"));
  CHECK(Shows(gateway, "rosemarycove_services_out_of_reach 0"));
  CHECK(Shows(gateway, "rosemarycove_servers_out_of_reach 0"));
}
