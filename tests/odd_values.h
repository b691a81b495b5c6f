// Values that no program should write, for the tests of those that read them.
#pragma once

#include <string>
#include <vector>

namespace rosemarycove {

// A value and what is odd about it.
struct OddValue {
  std::string name;
  std::string value;
};

// A server's entry with these texts as members; `extra` follows the others and
// begins with a comma.
struct EntryText {
  std::string service = R"("stock")";
  std::string address = R"("127.0.0.1:9")";
  std::string slots = "8";
  std::string born = "1";
  std::string state = R"("ready")";
  std::string extra;

  [[nodiscard]] std::string ToJson() const;
};

// Arrays in each other.
std::string Nested(int depth);

// Entries that name no server.
std::vector<OddValue> OddEntries();

// A valid configuration with one route, /again/ at "site.example" with the
// service "stock"; the texts of its members can be replaced.
struct ConfigurationText {
  std::string version = "7";
  std::string route_members;
  std::string service = R"("service":"stock")";
  std::string service_members;
  std::string limits = "{}";
  std::string extra;

  [[nodiscard]] std::string ToJson() const;
};

// Configurations that are refused.
std::vector<OddValue> OddConfigurations();

}  // namespace rosemarycove
