#include <string>

#include "app/configuration_manager.h"
#include "app/resource_document.h"
#include "app/settings.h"
#include "app/table_writer.h"
#include "tests/resource_fixtures.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

const std::string kInstance =
    "[instance]\nname = \"i\"\ndata_centre = \"a\"\nlisten = \"127.0.0.1:1\"\n";
const std::string kClass =
    "[[class]]\nname = \"c\"\ntier = 1\nwhole = \"2s\"\n";

// The first error in a settings text, or "valid".
std::string FirstError(const std::string& text) {
  const auto settings = ParseSettings(text, "f.toml");
  return settings ? "valid" : settings.error().front().ToString();
}

void CheckFirstError(const std::string& text, const std::string& expected) {
  const std::string error = FirstError(text);
  if (error.find(expected) == std::string::npos) {
    FAIL(("expected \"" + expected + "\" in \"" + error + "\"").c_str());
  }
}

}  // namespace

TEST_GROUP(Settings){};

TEST(Settings, ExamplesAreValid) {
  CHECK(LoadSettings("examples/posto-sul.toml").has_value());
  CHECK(LoadSettings("examples/mreznica.toml").has_value());
}

TEST(Settings, ValidSettings) {
  STRCMP_EQUAL("valid", FirstError(kInstance + kClass).c_str());
}

TEST(Settings, UnknownKeyNamesItsLine) {
  CheckFirstError(kInstance + "colour = \"red\"\n" + kClass,
                  "f.toml:5: instance.colour: is not a known key; allowed:");
}

TEST(Settings, UnknownTableNamesItsLine) {
  CheckFirstError(kInstance + kClass + "[extra]\n", "f.toml:9: extra: is not");
}

TEST(Settings, WrongType) {
  CheckFirstError(kInstance + kClass + "repeatable = \"yes\"\n",
                  "f.toml:9: class[0].repeatable: must be true or false");
}

TEST(Settings, OutOfRange) {
  CheckFirstError(
      kInstance + kClass + "guaranteed_share = 0.9\n",
      "f.toml:9: class[0].guaranteed_share: must be a number from 0 to "
      "0.2");
}

TEST(Settings, BadDuration) {
  CheckFirstError(
      kInstance + kClass + "max_wait = \"soon\"\n",
      "f.toml:9: class[0].max_wait: must be a string of a number and");
}

TEST(Settings, DanglingReference) {
  CheckFirstError(kInstance + kClass +
                      "[[customer]]\nname = \"u\"\nkey = \"k\"\n"
                      "classes = [\"c\", \"none\"]\ndefault_class = \"c\"\n",
                  "f.toml:12: customer.u.classes: names class 'none'");
}

TEST(Settings, DuplicateName) {
  CheckFirstError(kInstance + kClass + kClass,
                  "class.c.name: is declared twice");
}

TEST(Settings, SyntaxErrorNamesItsLine) {
  CheckFirstError("[instance\n", "f.toml:1: syntax:");
}

TEST(Settings, StoreExcludesResources) {
  CheckFirstError(kInstance + "[platform]\nstore = \"127.0.0.1:2\"\n" + kClass,
                  "platform.store: resources are declared in the store");
}

TEST(Settings, AllErrorsAreReported) {
  const auto settings =
      ParseSettings(kInstance + kClass + "tear = 1\nmax_wait = 3\n", "f.toml");
  CHECK_EQUAL(2U, settings.error().size());
}

TEST(Settings, KeysAreHashed) {
  const auto resources =
      ParseResources(kClass +
                         "[[customer]]\nname = \"u\"\nkey = \"abc\"\n"
                         "classes = [\"c\"]\ndefault_class = \"c\"\n",
                     "f");
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      resources->customers.front().key_hash.c_str());
  CHECK(ToTomlText(WriteResources(*resources)).find("abc\"") ==
        std::string::npos);
}

TEST(Settings, DurationsRoundTrip) {
  for (const char* text : {"1ms", "250us", "64ms", "90s", "5m", "24h"}) {
    const Duration duration = *ParseDuration(text);
    CHECK(ParseDuration(FormatDuration(duration)) == duration);
  }
  CHECK(!ParseDuration("12"));
  CHECK(!ParseDuration("-1s"));
  CHECK(!ParseDuration("1e300h"));
}

TEST(Settings, StoredFormRoundTrips) {
  StoredConfiguration stored{.resources = MakeResources(3),
                             .change_ids = {"change-1", "change-2"}};
  stored.resources.customers[0].key_hash = std::string(64, 'a');
  stored.resources.customers[1].key_hash = std::string(64, 'b');
  const auto read = ParseStoredText(ToStoredText(stored));
  CHECK(read.has_value());
  CHECK(read->change_ids == stored.change_ids);
  STRCMP_EQUAL(ToStoredText(stored).c_str(), ToStoredText(*read).c_str());
}
