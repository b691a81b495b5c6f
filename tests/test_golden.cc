// Whole sessions of both examples, byte for byte. To accept a changed
// session, run with ROSEMARYCOVE_GOLDEN=write and review the difference.
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "app/settings.h"
#include "tests/session.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ResourceSet Example(const std::string& name) {
  return *LoadSettings("examples/" + name + ".toml")->resources;
}

// The first line that differs, with its number.
std::string Difference(const std::string& expected, const std::string& seen) {
  std::istringstream a(expected);
  std::istringstream b(seen);
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
             "\nseen:     " + line_b;
    }
  }
}

void CheckGolden(const std::string& name, const std::string& seen) {
  const std::string file = "tests/golden/" + name + ".txt";
  const char* mode = std::getenv("ROSEMARYCOVE_GOLDEN");
  if (mode != nullptr && std::string(mode) == "write") {
    std::ofstream(file) << seen;
    return;
  }
  std::ifstream stream(file);
  std::ostringstream expected;
  expected << stream.rdbuf();
  const std::string difference = Difference(expected.str(), seen);
  if (!difference.empty()) {
    FAIL((file + " " + difference).c_str());
  }
}

RequestArrived Chat(RequestId id, const std::string& customer,
                    const std::string& class_name, const std::string& model) {
  return {.id = id,
          .customer = customer,
          .class_name = class_name,
          .model = model,
          .prompt_tokens = 200};
}

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
  Session session(Example("posto-sul"), "tramandai");
  const std::string model = "inspecao-7b";
  session.Arrive(milliseconds(0),
                 Chat(1, "litoral-norte", "overdue-report", model), 40);
  session.Arrive(milliseconds(3),
                 Chat(2, "florianopolis", "regulation-question", model), 12);
  session.Arrive(milliseconds(5), Chat(3, "auditoria", "", model), 60);
  session.Arrive(milliseconds(9),
                 Call(4, "litoral-norte", "buoy-record", "fichario", "buoy-17"),
                 0);
  // The same record again, and another body under its key.
  session.Arrive(milliseconds(30),
                 Call(5, "litoral-norte", "buoy-record", "fichario", "buoy-17"),
                 0);
  RequestArrived reused =
      Call(6, "litoral-norte", "buoy-record", "fichario", "buoy-17");
  reused.fingerprint = "other-body";
  session.Arrive(milliseconds(31), reused, 0);
  // A class that the customer may not use, and a model that nobody offers.
  session.Arrive(milliseconds(40),
                 Chat(7, "auditoria", "overdue-report", model), 5);
  session.Arrive(milliseconds(41), Chat(8, "florianopolis", "", "none"), 5);
  session.Leave(milliseconds(120), 2);
  session.Crash(milliseconds(200), "redator-1");
  session.Arrive(milliseconds(210), Chat(9, "florianopolis", "report", model),
                 20);
  session.StoreOut(milliseconds(400));
  session.Arrive(
      milliseconds(410),
      Call(10, "florianopolis", "buoy-record", "fichario", "buoy-18"), 0);
  CheckGolden("posto-sul", session.Run());
}

TEST(Golden, Mreznica) {
  Session session(Example("mreznica"), "ljubljana-a");
  const std::string model = "net-13b";
  RequestId id = 1;
  // Long reviews first, then a burst of prompt questions and labels.
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
  // An order whose answer is lost may have run: it is not sent again.
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
