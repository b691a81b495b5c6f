// Tests of the processor time that one request can cost a gateway. Requests
// within the limits are compared with ordinary ones of the same size, so the
// result does not depend on the speed of the machine.
#include <fmt/format.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "tests/limited_gateway.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * kKilobyte;
// The fields that a test adds to a head.
constexpr std::size_t kFieldBytes = 15 * kKilobyte;
constexpr int kRequests = 60;
constexpr int kOrdinaryRequests = 300;
// A request may cost this many times as much as an ordinary one of its size.
constexpr double kMaxCostRatio = 8;

// Returns the fields of the request with this number.
using Fields = std::function<std::string(int number)>;

// Returns the texts of successive numbers until they fill the given size.
std::string Fill(std::size_t bytes,
                 const std::function<std::string(int number)>& text) {
  std::string filled;
  for (int i = 0; filled.size() < bytes; ++i) {
    filled += text(i);
  }
  return filled;
}

std::string OrdinaryFields(int /*number*/) {
  return Fill(kFieldBytes, [](int i) {
    return fmt::format("X-Field-{}: {}\r\n", i, std::string(80, 'x'));
  });
}

// Returns a part list whose ids come from the function.
std::string PromptField(const std::function<std::uint64_t()>& next_id) {
  std::string parts =
      Fill(kFieldBytes, [&](int) { return fmt::format("{:x}:1,", next_id()); });
  parts.back() = '\r';
  return "Rosemarycove-Prefix-Hash: " + parts + "\n";
}

// Returns the milliseconds of processor time that one of the requests takes.
// All are answered.
double Cost(LimitedGateway& gateway, int requests, const Fields& fields) {
  std::unique_ptr<RawConnection> connection = gateway.Connect();
  const auto before = gateway.ProcessorTime();
  int served = 0;
  for (int i = 0; i < requests; ++i) {
    const std::string request = fmt::format(
        "POST /ordinary/ HTTP/1.1\r\nHost: site.example\r\n"
        "Rosemarycove-Request-Id: request-{}\r\n{}{}\r\n",
        i, LengthField(0), fields(i));
    if (connection != nullptr &&
        LimitedGateway::IsServed(*connection, request)) {
      ++served;
    } else {
      connection = gateway.Connect();
    }
  }
  CHECK_EQUAL(requests, served);
  return static_cast<double>((gateway.ProcessorTime() - before).count()) /
         requests;
}

void CheckCost(const Fields& fields, const Fields& ordinary_fields) {
  LimitedGateway gateway(AnswerRequests, {.max_header_bytes = kMaxHeaderBytes});
  const double ordinary = Cost(gateway, kOrdinaryRequests, ordinary_fields);
  const double tested = Cost(gateway, kRequests, fields);
  // For measurements.
  if (std::getenv("SHOW_USAGE") != nullptr) {
    fmt::print("{:.3f} ms, ordinary {:.3f} ms\n", tested, ordinary);
  }
  CHECK_COMPARE(tested, <, kMaxCostRatio * ordinary);
  gateway.CheckServes();
}

}  // namespace

TEST_GROUP(ClientWork){};

// Each field was compared with each name in Connection, for each attempt.
TEST(ClientWork, ManyFieldsAndConnectionNames) {
  CheckCost(
      [](int) {
        const auto name = [](int) { return "a,"; };
        return "Connection: " + Fill(kFieldBytes / 2, name) + "a\r\n" +
               Fill(kFieldBytes / 2, [](int) { return "b:\r\n"; });
      },
      OrdinaryFields);
}

// Each field was compared with all others.
TEST(ClientWork, ManyFields) {
  CheckCost([](int) { return Fill(kFieldBytes, [](int) { return "b:\r\n"; }); },
            OrdinaryFields);
}

TEST(ClientWork, ManyConnectionFields) {
  CheckCost(
      [](int) {
        return Fill(kFieldBytes,
                    [](int i) { return fmt::format("Connection: {}\r\n", i); });
      },
      OrdinaryFields);
}

// The ids of prompt parts were their own hashes.
TEST(ClientWork, ChosenPartIds) {
  // All fall into one bucket of a table with so many buckets, which has the
  // size of the quarantine's table of survivals once that is full.
  constexpr std::uint64_t kBuckets = 10273;
  std::uint64_t chosen = 0;
  std::mt19937_64 random(1);
  CheckCost(
      [&chosen](int) {
        return PromptField([&chosen] { return chosen += kBuckets; });
      },
      [&random](int) {
        return PromptField([&random] { return random() >> 32U; });
      });
}

TEST(ClientWork, ManyPartsWithoutTokens) {
  std::mt19937_64 random(1);
  CheckCost(
      [](int) {
        return "Rosemarycove-Prefix-Hash: " +
               Fill(kFieldBytes, [](int) { return "1,"; }) + "1\r\n";
      },
      [&random](int) {
        return PromptField([&random] { return random() >> 32U; });
      });
}
