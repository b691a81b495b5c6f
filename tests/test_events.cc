// Checks that docs/EVENTS.md lists the events of the catalogue in the code, and
// the format of log lines.
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "app/event_log.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

TEST_GROUP(Events){};

TEST(Events, CatalogueAndDocumentAgree) {
  std::set<std::string> in_code;
  for (const LogEventInfo& info : LogCatalogue()) {
    in_code.insert(std::to_string(static_cast<int>(info.event)) + " " +
                   std::string(info.name));
  }
  std::set<std::string> in_document;
  std::ifstream file("docs/EVENTS.md");
  std::string line;
  while (std::getline(file, line)) {
    // Rows look like: | 1001 | `started` | info | ...
    std::istringstream cells(line);
    std::string bar;
    std::string number;
    std::string name;
    cells >> bar >> number >> bar >> name;
    if (number.size() == 4 && name.size() > 2 && name.front() == '`') {
      in_document.insert(number + " " + name.substr(1, name.size() - 2));
    }
  }
  CHECK(!in_code.empty());
  CHECK(in_code == in_document);
}

TEST(Events, LinesAreFormatted) {
  STRCMP_EQUAL(
      R"({"event":1004,"name":"stopped","lost":0})",
      FormatEvent(LogEvent::kStopped, {{"lost", 0}}, LogFormat::kJson).c_str());
  STRCMP_EQUAL(
      "event=1004 name=stopped why=\"two words\"",
      FormatEvent(LogEvent::kStopped, {{"why", "two words"}}, LogFormat::kText)
          .c_str());
}
