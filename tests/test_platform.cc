// Tests of the platform's settings, header fields and documents.
#include "platform/boot_settings.h"
#include "platform/call_dialect.h"
#include "platform/documents.h"
#include "platform/store_protocol.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;            // NOLINT
using namespace rosemarycove::platform;  // NOLINT

namespace {

constexpr char kSettings[] = R"(node_name = "edge-1"
zone = "north"
seeds = ["10.0.0.1:80"]
unknown = 1
[listen]
front = "10.0.0.2:8000"
ready_addr = "10.0.0.2:8001"
control_addr = "10.0.0.2:8002"
[limits]
memory_mb = 260
max_fds = 4100
[bounds]
grace_s = 6
retry_ratio = 0.25
[platform]
address = "10.0.0.3:90"
)";

std::string Without(const std::string& text, const std::string& line) {
  std::string changed = text;
  const std::size_t at = changed.find(line);
  changed.erase(at, line.size());
  return changed;
}

}  // namespace

TEST_GROUP(Platform){};

TEST(Platform, ReadsSettingsAndIgnoresUnknownOnes) {
  const auto settings = ParseBootSettings(kSettings, "node.toml");
  CHECK(settings.has_value());
  STRCMP_EQUAL("edge-1", settings->gateway.instance.c_str());
  STRCMP_EQUAL("north", settings->gateway.data_centre.c_str());
  CHECK(settings->gateway.shutdown_grace == std::chrono::seconds(6));
  DOUBLES_EQUAL(0.25, settings->gateway.retry_budget.ratio, 0);
  CHECK_EQUAL(90, settings->store.port());
}

TEST(Platform, RelayedRequestsArriveAtTheFirstPortOfTheRange) {
  const auto without = ParseBootSettings(kSettings, "node.toml");
  STRCMP_EQUAL("", without->gateway.relay_listen_address.c_str());
  const auto address_for = [](const std::string& range) {
    const auto settings =
        ParseBootSettings("port_range = " + range + "\n" + kSettings, "f");
    return settings ? settings->gateway.relay_listen_address : settings.error();
  };
  STRCMP_EQUAL("10.0.0.2:7340", address_for("[7340, 7355]").c_str());
  STRCMP_EQUAL("", address_for("[]").c_str());
  for (const char* odd : {"[0, 9]", "[65536, 65537]", "[\"7340\"]", "[-1]",
                          "7340", "\"7340-7355\"", "[1.5, 2]", "{a = 1}"}) {
    STRCMP_EQUAL("f:1: port_range: expected a list of ports",
                 address_for(odd).c_str());
  }
}

// Guards against duties that earlier deployments don't have, and against
// settings that are wrong unseen.
TEST(Platform, ReadsDuties) {
  CHECK(!ParseBootSettings(kSettings, "f")->duties);
  const std::string cloud =
      std::string(kSettings) + "\n[cloud]\naddress = \"127.0.0.1:7\"\n";
  const auto defaults = ParseBootSettings(cloud, "f");
  CHECK(defaults && defaults->duties);
  CHECK(defaults->duties->options == DutyOptions{});
  const auto all = ParseBootSettings(
      cloud +
          "duties = [\"metering\", \"autoscale\", \"other\"]\n"
          "duty_per_s = 20\nrate_per_s = 30\n",
      "f");
  CHECK(all->duties->options.reports_usage);
  CHECK(all->duties->options.orders_engines);
  DOUBLES_EQUAL(20, all->duties->options.calls_per_second, 0);
  for (const char* wrong :
       {"duty_per_s = 0\n", "duty_per_s = \"x\"\n", "duties = 3\n"}) {
    CHECK_TEXT(!ParseBootSettings(cloud + wrong, "f"), wrong);
  }
  CHECK(!ParseBootSettings(std::string(kSettings) + "\n[cloud]\n", "f"));
}

TEST(Platform, SettingsErrorsContainFileLineAndKey) {
  const auto missing = ParseBootSettings(
      Without(kSettings, "front = \"10.0.0.2:8000\"\n"), "node.toml");
  CHECK(missing.error().find("listen.front") != std::string::npos);
  std::string wrong = kSettings;
  wrong.replace(wrong.find("10.0.0.3:90"), 11, "store:zero!");
  const auto invalid = ParseBootSettings(wrong, "node.toml");
  STRCMP_EQUAL(
      "node.toml:16: platform.address: expected an IP address and a port",
      invalid.error().c_str());
  CHECK(!ParseBootSettings("[", "node.toml").has_value());
}

TEST(Platform, ReadsPromptPartsTokensAndKey) {
  RequestHead head{.method = "POST", .target = "/a"};
  head.fields.Add("rosemarycove-request-id", "r1");
  head.fields.Add("Authorization", "Token secret");
  head.fields.Add("Rosemarycove-Token-Count", "1460,80");
  head.fields.Add("Rosemarycove-Prefix-Hash", "5c1e07a2:800,91bd3f06:410");
  head.fields.Add("Rosemarycove-Deadline-Ms", "1500");
  const RequestInfo call = PlatformCallDialect().ReadRequest(head);
  STRCMP_EQUAL("r1", call.request_id.c_str());
  STRCMP_EQUAL("secret", call.api_key->c_str());
  CHECK_EQUAL(1460, call.prompt_tokens);
  CHECK_EQUAL(80, call.expected_output_tokens);
  CHECK_EQUAL(2U, call.prompt_parts.size());
  CHECK_EQUAL(0x91bd3f06U, call.prompt_parts[1].id);
  CHECK_EQUAL(410, call.prompt_parts[1].tokens);
  CHECK(*call.timeout == std::chrono::milliseconds(1500));
  CHECK(!call.has_conflicting_fields);
}

TEST(Platform, MalformedPromptPartsTerminate) {
  RequestHead head;
  head.fields.Add("Rosemarycove-Prefix-Hash", "zz::,;5c:x,");
  head.fields.Add("Rosemarycove-Token-Count", "many");
  CHECK_EQUAL(0, PlatformCallDialect().ReadRequest(head).prompt_tokens);
}

// Guards against a limit that can't be read being taken for another one, or for
// the end of a limit.
TEST(Platform, ReadsOnlyWellFormedRateLimits) {
  const auto read = [](std::initializer_list<const char*> values) {
    ResponseHead head;
    for (const char* value : values) {
      head.fields.Add("server-limit", value);
    }
    return PlatformCallDialect().ReadResponse(head);
  };
  CHECK(!read({}).rate_limit);
  CHECK(read({}).unreadable_rate_limit.empty());
  DOUBLES_EQUAL(1.9, *read({"1.9"}).rate_limit, 1e-9);
  DOUBLES_EQUAL(0, *read({"0"}).rate_limit, 1e-9);
  DOUBLES_EQUAL(0.3, *read({".3"}).rate_limit, 1e-9);
  for (const char* value :
       {"-1", "nan", "inf", "1e9", "0x10", "1.2.3", "1,2", "+1", " 1", "."}) {
    CHECK(!read({value}).rate_limit);
    STRCMP_EQUAL(value, read({value}).unreadable_rate_limit.c_str());
  }
  CHECK(!read({std::string(400, '9').c_str()}).rate_limit);
  CHECK(!read({""}).rate_limit);
  STRCMP_EQUAL("empty", read({""}).unreadable_rate_limit.c_str());
  CHECK(!read({"2", "2"}).rate_limit);
  STRCMP_EQUAL("2", read({"2", "2"}).unreadable_rate_limit.c_str());
}

TEST(Platform, ReadsOnlyWellFormedRejectionCounts) {
  const auto read = [](std::initializer_list<const char*> values) {
    ResponseHead head;
    for (const char* value : values) {
      head.fields.Add("server-brittle", value);
    }
    return PlatformCallDialect().ReadResponse(head);
  };
  CHECK(!read({}).rejections_tolerated);
  CHECK(read({}).unreadable_brittleness.empty());
  CHECK_EQUAL(12, *read({"12"}).rejections_tolerated);
  CHECK_EQUAL(0, *read({"0"}).rejections_tolerated);
  CHECK(*read({"99999999999"}).rejections_tolerated >= 65535);
  for (const char* value : {"-1", "yes", "1.5", "1.", "1,2", "+1", " 1"}) {
    CHECK(!read({value}).rejections_tolerated);
    STRCMP_EQUAL(value, read({value}).unreadable_brittleness.c_str());
  }
  CHECK(!read({""}).rejections_tolerated);
  STRCMP_EQUAL("empty", read({""}).unreadable_brittleness.c_str());
  CHECK(!read({"2", "2"}).rejections_tolerated);
  STRCMP_EQUAL("2", read({"2", "2"}).unreadable_brittleness.c_str());
}

// Guards against a malformed figure that replaces the last good one, and
// against the loads of earlier deployments, which have none, being reported as
// malformed.
TEST(Platform, ReadsOnlyWellFormedSlowdowns) {
  const auto read = [](std::initializer_list<const char*> values) {
    ResponseHead head;
    for (const char* value : values) {
      head.fields.Add("Rosemarycove-Engine-Load", value);
    }
    return PlatformCallDialect().ReadResponse(head);
  };
  for (const char* value : {"3,1,16", "3,1", "", "x"}) {
    CHECK(!read({value}).load->slowdown);
    CHECK(read({value}).unreadable_slowdown.empty());
  }
  DOUBLES_EQUAL(2.5, *read({"3,1,16,250"}).load->slowdown, 1e-9);
  DOUBLES_EQUAL(1, *read({"3, 1, 16, 100"}).load->slowdown, 1e-9);
  DOUBLES_EQUAL(1, *read({"3,1,16,100,7"}).load->slowdown, 1e-9);
  CHECK_EQUAL(3, read({"3,1,16,250"}).load->running);
  for (const char* value : {"-1", "0", "fast", "1e3", "100001", "nan", "+1"}) {
    const std::string load = "3,1,16," + std::string(value);
    CHECK(!read({load.c_str()}).load->slowdown);
    STRCMP_EQUAL(value, read({load.c_str()}).unreadable_slowdown.c_str());
    CHECK_EQUAL(1, read({load.c_str()}).load->waiting);
  }
  STRCMP_EQUAL("empty", read({"3,1,16,"}).unreadable_slowdown.c_str());
  CHECK(!read({"3,1,16,100", "3,1,16,100"}).load->slowdown);
}

TEST(Platform, RejectsMalformedServerEntries) {
  const PlatformServerDecoder decoder;
  const std::string valid =
      R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
      R"("state":"draining","born":7})";
  const auto server = decoder.Decode({.key = "i-1", .value = valid});
  CHECK(server.has_value());
  CHECK(server->is_draining);
  CHECK_EQUAL(7U, server->incarnation);
  for (const char* value :
       {"", "\xff\xfe", "[]", "{}", R"({"service":1})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":"4",)"
        R"("state":"ready"})",
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","slots":4,)"
        R"("state":"odd"})"}) {
    CHECK(!decoder.Decode({.key = "i-1", .value = value}).has_value());
  }
}

// Guards against engines that are ordered by numbers that were not given, and
// against entries of former deployments that are refused.
TEST(Platform, ReadsWhatEnginesMayBeOrdered) {
  const PlatformConfigurationDecoder decoder;
  const auto decode = [&](const std::string& service) {
    return decoder.Decode(
        R"({"version":1,"routes":[],"services":[{"name":"m")" + service +
        "}]}");
  };
  CHECK(!decode("")->services[0].scaling.has_value());
  const auto scaling =
      decode(R"(,"scaling":{"min":2,"max":60,"boot_s":4.5,"spot_price":0.22,)"
             R"("zone_prices":{"a":1,"b":1.3},"new":[]})")
          ->services[0]
          .scaling;
  CHECK(scaling ==
        (EngineScaling{.min_engines = 2,
                       .max_engines = 60,
                       .boot_time = std::chrono::milliseconds(4500),
                       .reclaimable_price = 0.22,
                       .price_by_data_centre = {{"a", 1}, {"b", 1.3}}}));
  CHECK(decode(R"(,"scaling":{"max":3})")->services[0].scaling ==
        EngineScaling{.max_engines = 3});
  for (const char* odd :
       {"7", "[]", "null", "{}", R"({"max":-1})", R"({"max":"9"})",
        R"({"min":5,"max":4})", R"({"min":0.5,"max":4})", R"({"max":1e9})",
        R"({"max":4,"boot_s":-1})", R"({"max":4,"boot_s":1e300})",
        R"({"max":4,"spot_price":"cheap"})", R"({"max":4,"spot_price":-0.1})",
        R"({"max":4,"zone_prices":[1]})",
        R"({"max":4,"zone_prices":{"a":"1"}})",
        R"({"max":4,"zone_prices":{"a":-1}})"}) {
    CHECK_TEXT(!decode(std::string(",\"scaling\":") + odd).has_value(), odd);
  }
}

// Guards against engines that leave and are taken for ones that stay.
TEST(Platform, ReadsWhichEnginesMayBeTakenAway) {
  const PlatformServerDecoder decoder;
  const auto decode = [&](const std::string& fields) {
    return decoder.Decode(
        {.key = "i-1",
         .value = R"({"service":"s","address":"1.2.3.4:5","zone":"z",)"
                  R"("slots":4,"state":"draining")" +
                  fields + "}"});
  };
  CHECK(!decode("")->is_reclaimable);
  CHECK(!decode("")->leaves_in.has_value());
  const auto leaving = decode(R"(,"spot":true,"leaves_ms":2500)");
  CHECK(leaving->is_reclaimable);
  CHECK(leaving->leaves_in == std::chrono::milliseconds(2500));
  CHECK(!decode(R"(,"spot":"yes")").has_value());
  CHECK(!decode(R"(,"leaves_ms":-5)").has_value());
}

TEST(Platform, ConfigurationErrorsContainTheField) {
  const PlatformConfigurationDecoder decoder;
  const auto configuration = decoder.Decode(
      R"({"version":1,"routes":[{"name":"r","hostname":"h"}],"services":[]})");
  STRCMP_EQUAL("path_prefix is missing", configuration.error().c_str());
  CHECK(!decoder.Decode("nothing").has_value());
}

TEST(Platform, DecodesBase64WithPadding) {
  STRCMP_EQUAL("node-1", DecodeBase64("bm9kZS0x")->c_str());
  STRCMP_EQUAL("a", DecodeBase64("YQ==")->c_str());
  STRCMP_EQUAL("", DecodeBase64("")->c_str());
  CHECK(!DecodeBase64("YQ=").has_value());
}
