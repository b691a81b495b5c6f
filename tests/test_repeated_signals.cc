// A gateway that gets further stop signals while it exits must still end with
// its own exit status, not by the signal: a supervisor would take that for a
// crash. Found by the soak, whose second SIGTERM came after the last log line.
#include <chrono>
#include <csignal>
#include <filesystem>
#include <optional>

#include "tests/soak/gateway_process.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove::soak;  // NOLINT

namespace {

constexpr int kStarts = 10;
constexpr std::chrono::seconds kTimeout(20);
constexpr std::chrono::milliseconds kGrace(1500);

// Signals the process again and again until it has ended.
std::optional<int> SignalUntilExit(GatewayProcess& gateway) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    for (int i = 0; i < 1000; ++i) {
      gateway.Signal(SIGTERM);
    }
    if (const auto status = gateway.Wait(std::chrono::milliseconds(0))) {
      return status;
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_GROUP(RepeatedSignals){};

TEST(RepeatedSignals, DoNotEndAProcessThatExits) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("rosemarycove-signals-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const GatewayPorts ports{.first = FindFreePorts(GatewayPorts::kCount + 1)};
  const std::string unused_address =
      "127.0.0.1:" + std::to_string(ports.first + GatewayPorts::kCount);
  for (int i = 0; i < kStarts; ++i) {
    GatewayProcess gateway(GATEWAY_PROGRAM, folder, "g0", ports, {});
    gateway.WriteSettings(unused_address, {}, kGrace);
    CHECK(gateway.Start());
    const auto deadline = std::chrono::steady_clock::now() + kTimeout;
    while (gateway.LogLinesWith("\"name\":\"started\"").size() <=
               static_cast<std::size_t>(i) &&
           std::chrono::steady_clock::now() < deadline) {
      CHECK_FALSE(gateway.Wait(std::chrono::milliseconds(10)).has_value());
    }
    const std::optional<int> status = SignalUntilExit(gateway);
    CHECK(status.has_value());
    LONGS_EQUAL(0, *status);
  }
  std::filesystem::remove_all(folder);
}
