#include "tests/odd_values.h"

#include <fmt/format.h>

namespace rosemarycove {
namespace {

constexpr int kDeep = 200'000;
constexpr std::size_t kMegabytes = std::size_t{4} << 20U;

}  // namespace

std::string EntryText::ToJson() const {
  return fmt::format(
      R"({{"service":{},"address":{},"zone":"here","version":"v1",)"
      R"("slots":{},"state":{},"born":{},"cold_left_ms":0,"seq":1{}}})",
      this->service, this->address, this->slots, this->state, this->born,
      this->extra);
}

std::string Nested(int depth) {
  const auto count = static_cast<std::size_t>(depth);
  return std::string(count, '[') + std::string(count, ']');
}

std::vector<OddValue> OddEntries() {
  std::vector<OddValue> values = {
      {"empty", ""},
      {"no object", "[1]"},
      {"only brackets", std::string(kDeep, '[')},
      {"nested deeply", Nested(kDeep)},
      {"nested in an unused field",
       EntryText{.extra = ",\"x\":" + Nested(kDeep)}.ToJson()},
      {"number too large in an unused field",
       EntryText{.extra = ",\"x\":1e400"}.ToJson()},
      {"no text", "\xff\xfe\x01\x02"},
      {"service that is no text",
       EntryText{.service = "\"sto\xffk\""}.ToJson()},
      {"service with half a character",
       EntryText{.service = R"("\ud800")"}.ToJson()},
      {"service with an end of line",
       EntryText{.service = R"("stock\r\nX: y")"}.ToJson()},
      {"empty service", EntryText{.service = R"("")"}.ToJson()},
      {"megabytes",
       EntryText{.extra = ",\"x\":\"" + std::string(kMegabytes, 'x') + "\""}
           .ToJson()},
      {"unknown state", EntryText{.state = R"("odd")"}.ToJson()},
  };
  for (const char* slots :
       {"0", "-1", "-9223372036854775808", "9999999999", "1e30", "1e308",
        "18446744073709551615", "1e400", "2.5", "\"8\"", "null", "true"}) {
    values.push_back(
        {std::string("slots ") + slots, EntryText{.slots = slots}.ToJson()});
  }
  for (const char* born :
       {"-1", "1e300", "1.5", "99999999999999999999999", "\"1\"", "null"}) {
    values.push_back(
        {std::string("born ") + born, EntryText{.born = born}.ToJson()});
  }
  for (const char* address :
       {"127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:65536", "127.0.0.1:99999",
        "127.0.0.1:4294967305", "127.0.0.1:9x", "127.0.0.1: 9", "127.0.0.1:+9",
        "127.0.0.1:", "127.0.0.1", ":9", "", "host:9", "127.0.0.1:9:9",
        "300.0.0.1:9", "127.0.0.1:9\\u0000"}) {
    values.push_back(
        {std::string("address ") + address,
         EntryText{.address = '"' + std::string(address) + '"'}.ToJson()});
  }
  return values;
}

std::string ConfigurationText::ToJson() const {
  return fmt::format(
      R"({{"version":{},"routes":[{{"name":"again","hostname":"site.example",)"
      R"("path_prefix":"/again/","type":"safe",{}{}}}],)"
      R"("services":[{{"name":"stock"{}}}],"limits":{}{}}})",
      this->version, this->service, this->route_members, this->service_members,
      this->limits, this->extra);
}

std::vector<OddValue> OddConfigurations() {
  std::vector<OddValue> values = {
      {"empty", ""},
      {"no object", "[]"},
      {"nested deeply", Nested(kDeep)},
      {"nested in an unused field",
       ConfigurationText{.extra = ",\"x\":" + Nested(kDeep)}.ToJson()},
      {"number too large in an unused field",
       ConfigurationText{.extra = ",\"x\":1e400"}.ToJson()},
      {"no text",
       ConfigurationText{.service = "\"service\":\"\xff\""}.ToJson()},
      {"megabytes",
       ConfigurationText{.extra =
                             ",\"x\":\"" + std::string(kMegabytes, 'x') + "\""}
           .ToJson()},
      {"tenants that are no list",
       ConfigurationText{.extra = ",\"tenants\":7"}.ToJson()},
      {"tenant with an end of line",
       ConfigurationText{
           .extra = R"(,"tenants":[{"name":"a\r\nb: c","api_keys":["k"]}])"}
           .ToJson()},
      {"priority of a tenant",
       ConfigurationText{
           .extra =
               R"(,"tenants":[{"name":"a","priority":1e30,"api_keys":["k"]}])"}
           .ToJson()},
      {"split without services",
       ConfigurationText{.service = R"("split":[])"}.ToJson()},
      {"split that is no list",
       ConfigurationText{.service = R"("split":{"a":1})"}.ToJson()},
      {"limits that are no object", ConfigurationText{.limits = "[]"}.ToJson()},
      {"engine that is no object",
       ConfigurationText{.service_members = R"(,"engine":1)"}.ToJson()},
  };
  for (const char* version : {"-1", "1e300", "18446744073709551615",
                              "99999999999999999999", "7.5", "\"7\"", "null"}) {
    values.push_back({std::string("version ") + version,
                      ConfigurationText{.version = version}.ToJson()});
  }
  for (const char* member :
       {R"("timeout_ms":1e300)", R"("timeout_ms":-1)", R"("timeout_ms":"1")",
        R"("slo_ms":1e19)", R"("gap_target_ms":-1e300)", R"("priority":-1)",
        R"("priority":1e9)", R"("priority":99999999999)", R"("priority":0.5)",
        R"("attempts":-1)", R"("attempts":1e300)", R"("public":1)"}) {
    values.push_back(
        {member, ConfigurationText{.route_members = "," + std::string(member)}
                     .ToJson()});
  }
  for (const char* weight : {"-1", "1e300", "99999999999", "0.5", "\"1\""}) {
    values.push_back(
        {std::string("weight ") + weight,
         ConfigurationText{
             .service = fmt::format(
                 R"("split":[{{"service":"stock","weight":{}}}])", weight)}
             .ToJson()});
  }
  for (const char* member :
       {R"("max_conns":-1)", R"("max_conns":1e300)", R"("engine":{"slots":-1})",
        R"("engine":{"slots":1e300})",
        R"("engine":{"slots":8,"kv_tokens":99999999999})",
        R"("engine":{"slots":8,"kv_tokens":-1})",
        R"("engine":{"slots":8,"stride":1e300})"}) {
    values.push_back(
        {member, ConfigurationText{.service_members = "," + std::string(member)}
                     .ToJson()});
  }
  for (const char* member :
       {R"("max_header_bytes":-1)", R"("max_body_bytes":1e300)",
        R"("header_timeout_ms":1e300)", R"("idle_timeout_ms":-1)"}) {
    values.push_back(
        {member, ConfigurationText{.limits = "{" + std::string(member) + "}"}
                     .ToJson()});
  }
  return values;
}

}  // namespace rosemarycove
