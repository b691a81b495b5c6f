// Compares sessions with both example settings to recorded ones, byte for byte.
// To accept a changed session, run the test with ROSEMARYCOVE_GOLDEN=write and
// review the difference.
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "app/settings.h"
#include "tests/session.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ResourceSet LoadExample(const std::string& name) {
  return *LoadSettings("examples/" + name + ".toml")->resources;
}

// Describes the first line that differs; empty if the texts are equal.
std::string FirstDifference(const std::string& expected,
                            const std::string& actual) {
  std::istringstream a(expected);
  std::istringstream b(actual);
  std::string line_a;
  std::string line_b;
  for (int number = 1;; ++number) {
    const bool more_a = static_cast<bool>(std::getline(a, line_a));
    const bool more_b = static_cast<bool>(std::getline(b, line_b));
    if (!more_a && !more_b) {
      return "";
    }
    if (more_a != more_b || line_a != line_b) {
      return "line " + std::to_string(number) + "\nexpected: " + line_a +
             "\nactual:   " + line_b;
    }
  }
}

// Compares a session with tests/golden/NAME.txt, or writes that file.
void CheckGolden(const std::string& name, const std::string& actual) {
  const std::string file = "tests/golden/" + name + ".txt";
  const char* mode = std::getenv("ROSEMARYCOVE_GOLDEN");
  if (mode != nullptr && std::string(mode) == "write") {
    std::ofstream(file) << actual;
    return;
  }
  std::ifstream stream(file);
  std::ostringstream expected;
  expected << stream.rdbuf();
  const std::string difference = FirstDifference(expected.str(), actual);
  if (!difference.empty()) {
    FAIL((file + " " + difference).c_str());
  }
}

// A request to a model service.
RequestArrived Chat(RequestId id, const std::string& customer,
                    const std::string& class_name, const std::string& model) {
  return {.id = id,
          .customer = customer,
          .class_name = class_name,
          .model = model,
          .prompt_tokens = 200};
}

// A call to a plain service with an idempotency key, which may be empty.
RequestArrived Call(RequestId id, const std::string& customer,
                    const std::string& class_name, const std::string& service,
                    const std::string& key) {
  return {.id = id,
          .customer = customer,
          .class_name = class_name,
          .service = service,
          .idempotency_key = key,
          .fingerprint = key + "-body"};
}

}  // namespace

TEST_GROUP(Golden){};

TEST(Golden, PostoSul) {
  Session session(LoadExample("posto-sul"), "tramandai");
  const std::string model = "inspecao-7b";
  session.Arrive(milliseconds(0),
                 Chat(1, "litoral-norte", "overdue-report", model), 40);
  session.Arrive(milliseconds(3),
                 Chat(2, "florianopolis", "regulation-question", model), 12);
  session.Arrive(milliseconds(5), Chat(3, "auditoria", "", model), 60);
  session.Arrive(milliseconds(9),
                 Call(4, "litoral-norte", "buoy-record", "fichario", "buoy-17"),
                 0);
  // The same call again, and a call with another body under its key.
  session.Arrive(milliseconds(30),
                 Call(5, "litoral-norte", "buoy-record", "fichario", "buoy-17"),
                 0);
  RequestArrived reused =
      Call(6, "litoral-norte", "buoy-record", "fichario", "buoy-17");
  reused.fingerprint = "other-body";
  session.Arrive(milliseconds(31), reused, 0);
  // A class that the customer may not use, and a model that no service offers.
  session.Arrive(milliseconds(40),
                 Chat(7, "auditoria", "overdue-report", model), 5);
  session.Arrive(milliseconds(41), Chat(8, "florianopolis", "", "none"), 5);
  session.DisconnectCaller(milliseconds(120), 2);
  session.CrashBackend(milliseconds(200), "redator-1");
  session.Arrive(milliseconds(210), Chat(9, "florianopolis", "report", model),
                 20);
  session.FailStore(milliseconds(400));
  session.Arrive(
      milliseconds(410),
      Call(10, "florianopolis", "buoy-record", "fichario", "buoy-18"), 0);
  CheckGolden("posto-sul", session.Run());
}

TEST(Golden, Mreznica) {
  Session session(LoadExample("mreznica"), "ljubljana-a");
  const std::string model = "net-13b";
  RequestId id = 1;
  // Long reviews first, then a burst of short questions and labels.
  for (int i = 0; i < 6; ++i) {
    session.Arrive(milliseconds(i),
                   Chat(id++, "design", "pattern-review", model), 80);
  }
  for (int i = 0; i < 8; ++i) {
    session.Arrive(milliseconds(50 + 2 * i),
                   Chat(id++, "bench", "seamstress-question", model), 10);
    session.Arrive(milliseconds(51 + 2 * i),
                   Chat(id++, "inspection-line", "defect-label", model), 4);
  }
  session.Arrive(milliseconds(80),
                 Call(id++, "office", "stock-lookup", "orders-app", ""), 0);
  session.Arrive(
      milliseconds(90),
      Call(id++, "office", "dispatch-order", "orders-app", "clinic-4"), 0);
  // An order whose response is lost may have run, so it is not sent again.
  session.LoseAnswers(milliseconds(100), "orders-app-1");
  session.Arrive(
      milliseconds(110),
      Call(id++, "office", "dispatch-order", "orders-app", "clinic-5"), 0);
  session.Arrive(
      milliseconds(150),
      Call(id++, "office", "dispatch-order", "orders-app", "clinic-5"), 0);
  session.Arrive(seconds(3),
                 Call(id++, "office", "stock-lookup", "orders-app", ""), 0);
  CheckGolden("mreznica", session.Run());
}
