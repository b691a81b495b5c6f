// Tests configuration changes and idempotency claims while the platform's store
// fails.
#include <thread>

#include "app/claim_store.h"
#include "app/configuration_manager.h"
#include "tests/fake_store.h"
#include "tests/resource_fixtures.h"

// Included last, since CppUTest defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

// Replaces the resources by the tests' resources with this number of engines.
ResourceEdit Declare(int engines) {
  return [engines](ResourceSet& set) -> tl::expected<void, SettingsErrors> {
    const std::uint64_t revision = set.revision;
    set = MakeResources(engines);
    set.customers[0].key_hash = std::string(64, 'a');
    set.customers[1].key_hash = std::string(64, 'b');
    set.revision = revision;
    return {};
  };
}

}  // namespace

TEST_GROUP(Configuration) {
  FakeStore store;
  EventLog log{"test", LogFormat::kText, "error"};
  // Revisions passed to the listener.
  std::vector<std::uint64_t> applied;
  ConfigurationManager configuration{
      this->store, this->log,
      [this](std::shared_ptr<const ResourceSet> resources) {
        this->applied.push_back(resources->revision);
      }};
  ConfigurationManager other{this->store, this->log,
                             [](std::shared_ptr<const ResourceSet>) {}};
};

TEST(Configuration, AcceptedChangeIsApplied) {
  const auto changed = this->configuration.Change("c1", 0, Declare(2));
  CHECK_EQUAL(1U, *changed);
  CHECK_EQUAL(1U, this->applied.size());
}

TEST(Configuration, RepeatedChangeIsMadeOnce) {
  this->configuration.Change("c1", 0, Declare(2));
  CHECK_EQUAL(1U, *this->configuration.Change("c1", 0, Declare(2)));
  CHECK_EQUAL(1U, this->configuration.revision());
}

TEST(Configuration, RevisionOfEachChangeIsFound) {
  this->configuration.Change("c1", 0, Declare(2));
  this->configuration.Change("c2", 0, Declare(3));
  CHECK_EQUAL(1U, *this->configuration.RevisionOf("c1"));
  CHECK_EQUAL(2U, *this->configuration.RevisionOf("c2"));
  CHECK_EQUAL(1U, *this->configuration.Change("c1", 0, Declare(2)));
}

TEST(Configuration, OneOfTwoConcurrentChangesIsAccepted) {
  this->configuration.Change("c1", 0, Declare(2));
  this->store.before_write = [this] {
    CHECK(this->other.Change("c2", 1, Declare(3)).has_value());
  };
  const auto concurrent = this->configuration.Change("c3", 1, Declare(4));
  CHECK(concurrent.error().kind == ChangeErrorKind::kConflict);
  const auto late = this->configuration.Change("c4", 1, Declare(4));
  CHECK(late.error().kind == ChangeErrorKind::kConflict);
  CHECK_EQUAL(2U, late.error().revision);
}

TEST(Configuration, LostResponseIsResolvedByReading) {
  this->store.lose_response = true;
  CHECK_EQUAL(1U, *this->configuration.Change("c1", 0, Declare(2)));
  CHECK_EQUAL(1U, *this->configuration.RevisionOf("c1"));
}

TEST(Configuration, LostWriteIsUnknownUntilRepeated) {
  this->store.lose_write = true;
  const auto changed = this->configuration.Change("c1", 0, Declare(2));
  CHECK(changed.error().kind == ChangeErrorKind::kUnknown);
  CHECK_EQUAL(0U, *this->configuration.RevisionOf("c1"));
  CHECK_EQUAL(1U, *this->configuration.Change("c1", 0, Declare(2)));
}

TEST(Configuration, OutageChangesNothing) {
  this->configuration.Change("c1", 0, Declare(2));
  this->store.outage = true;
  const auto changed = this->configuration.Change("c2", 0, Declare(3));
  CHECK(changed.error().kind == ChangeErrorKind::kUnavailable);
  CHECK(!this->configuration.RevisionOf("c2").has_value());
  this->store.outage = false;
  CHECK_EQUAL(0U, *this->configuration.RevisionOf("c2"));
  CHECK_EQUAL(1U, this->configuration.revision());
}

TEST(Configuration, OutageDuringTheWriteChangesNothing) {
  this->store.before_write = [this] { this->store.outage = true; };
  const auto changed = this->configuration.Change("c1", 0, Declare(2));
  CHECK(changed.error().kind == ChangeErrorKind::kUnavailable);
  this->store.outage = false;
  CHECK_EQUAL(0U, *this->configuration.RevisionOf("c1"));
}

TEST(Configuration, InvalidChangeIsNotWritten) {
  const auto changed = this->configuration.Change(
      "c1", 0, [](ResourceSet&) -> tl::expected<void, SettingsErrors> {
        return tl::unexpected(SettingsErrors{{.file = "request"}});
      });
  CHECK(changed.error().kind == ChangeErrorKind::kInvalid);
  CHECK(this->store.values["configuration/root"].version == 0);
}

TEST(Configuration, LowerRevisionIsNotApplied) {
  this->configuration.Change("c1", 0, Declare(2));
  const StoreValue old = this->store.values["configuration/root"];
  this->configuration.Change("c2", 0, Declare(3));
  // A lagging replica returns the old configuration under a higher version.
  this->store.values["configuration/root"] = {.value = old.value, .version = 9};
  this->configuration.Start();
  // The second watch starts after the first value has been processed.
  while (this->store.watch_count < 2) {
    std::this_thread::yield();
  }
  this->configuration.Stop();
  CHECK_EQUAL(2U, this->configuration.revision());
  CHECK_EQUAL(2U, this->applied.size());
}

TEST_GROUP(Claims) {
  FakeStore store;
  SharedClaimStore claims{this->store};

  ClaimResult Claim(const std::string& owner,
                    const std::string& fingerprint = "f") {
    return this->claims.Claim({.customer = "alice",
                               .key = "k",
                               .fingerprint = fingerprint,
                               .owner = owner});
  }
};

TEST(Claims, FirstClaimWins) {
  CHECK(this->Claim("one") == ClaimResult::kClaimed);
  CHECK(this->Claim("two") == ClaimResult::kIdempotencyKeyTaken);
  CHECK(this->Claim("three", "other") == ClaimResult::kIdempotencyKeyReused);
}

TEST(Claims, ClaimSurvivesARestart) {
  this->Claim("one");
  SharedClaimStore restarted(this->store);
  CHECK(restarted.Claim({.customer = "alice",
                         .key = "k",
                         .fingerprint = "f",
                         .owner = "one-after-restart"}) ==
        ClaimResult::kIdempotencyKeyTaken);
}

TEST(Claims, OwnClaimWinsAfterLostResponse) {
  this->store.lose_response = true;
  CHECK(this->Claim("one") == ClaimResult::kClaimed);
}

TEST(Claims, LostWriteIsUnavailable) {
  this->store.lose_write = true;
  CHECK(this->Claim("one") == ClaimResult::kUnavailable);
}

TEST(Claims, OutageIsUnavailable) {
  this->store.outage = true;
  CHECK(this->Claim("one") == ClaimResult::kUnavailable);
}

TEST(Claims, KeysOfCustomersAreSeparate) {
  this->Claim("one");
  CHECK(this->claims.Claim({.customer = "bob",
                            .key = "k",
                            .fingerprint = "f",
                            .owner = "two"}) == ClaimResult::kClaimed);
}
