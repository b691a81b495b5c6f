// Tests of the differences between configurations, of who asks whom for one,
// and of the share of a link that they take.
#include <chrono>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/configuration_history.h"
#include "core/configuration_requests.h"
#include "core/link_budget.h"
#include "wire/zstd_codec.h"

// Included last, since CppUTest defines macros that break standard headers.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr std::uint64_t kSeeds = 20;
// Routes of the deployments at first, of a configuration that has grown, and of
// the target size.
constexpr int kRouteCounts[] = {49, 1400, 5600};
// What an instance may spend on a change, at 12 KB a second and a change each
// 0.8 s (docs/CAPACITY.md).
constexpr std::size_t kMaxChangeBytes = 9600;

// A configuration that changes.
class ChangingDocument {
 public:
  ChangingDocument(int route_count, std::uint64_t seed) : random(seed) {
    for (int index = 0; index < route_count; ++index) {
      this->AddRoute();
    }
  }

  // Returns the next version.
  SharedDocument Change() {
    const std::size_t chosen = this->random() % this->routes.size();
    switch (this->random() % 3) {
      case 0:
        this->routes[chosen] = "timeout " + std::to_string(this->random());
        break;
      case 1:
        this->routes.erase(this->routes.begin() +
                           static_cast<std::ptrdiff_t>(chosen));
        [[fallthrough]];
      default:
        this->AddRoute();
    }
    ++this->revision;
    std::string value = "version " + std::to_string(this->revision);
    for (const std::string& route : this->routes) {
      value += "\n" + route;
    }
    return {
        .key = "config", .revision = this->revision, .value = std::move(value)};
  }

 private:
  void AddRoute() {
    this->routes.push_back(
        "route " + std::to_string(this->random()) +
        R"( host "site.example", kind "stream", target 500 ms, attempts 2)");
  }

  std::mt19937_64 random;
  std::vector<std::string> routes;
  std::uint64_t revision = 0;
};

}  // namespace

TEST_GROUP(ConfigurationUpdates) {
  ZstdCodec codec;
  ConfigurationHistory sender{this->codec};
  ConfigurationHistory receiver{this->codec};
};

TEST(ConfigurationUpdates, InstanceThatMissedVersionsGetsTheLatest) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    ChangingDocument document(50, seed);
    ConfigurationHistory from(this->codec);
    ConfigurationHistory to(this->codec);
    for (int version = 0; version < 60; ++version) {
      from.Add(document.Change());
      if (random() % 4 != 0) {
        continue;
      }
      const auto applied = to.Apply(from.UpdateFrom(to.latest_hash()));
      CHECK(applied.has_value());
      CHECK(applied->value == from.latest().value);
      CHECK(applied->revision == from.latest().revision);
      CHECK(applied->key == from.latest().key);
      to.Add(*applied);
      CHECK(to.latest_hash() == from.latest_hash());
    }
  }
}

// The sender knows the receiver by its last report, which may be some versions
// old.
TEST(ConfigurationUpdates, UpdateFromAnEarlierReportIsApplied) {
  ChangingDocument document(50, 1);
  this->sender.Add(document.Change());
  this->receiver.Add(this->sender.latest());
  const std::uint64_t reported = this->receiver.latest_hash();
  for (int version = 0; version < 20; ++version) {
    this->sender.Add(document.Change());
    this->receiver.Add(this->sender.latest());
  }
  this->sender.Add(document.Change());
  const ConfigurationUpdate& update = this->sender.UpdateFrom(reported);
  CHECK(update.base_hash == reported);
  CHECK(this->receiver.Apply(update)->value == this->sender.latest().value);
}

TEST(ConfigurationUpdates, UnknownBaseGetsTheWholeDocument) {
  ChangingDocument document(50, 1);
  this->sender.Add(document.Change());
  const ConfigurationUpdate& update = this->sender.UpdateFrom(4711);
  CHECK(update.base_hash == 0);
  CHECK(this->receiver.Apply(update)->value == this->sender.latest().value);
}

// Guards against a difference that is applied to the wrong base.
TEST(ConfigurationUpdates, UpdateFromAnotherBaseIsRefused) {
  ChangingDocument document(50, 1);
  ChangingDocument other(50, 2);
  this->sender.Add(document.Change());
  const std::uint64_t base = this->sender.latest_hash();
  this->sender.Add(document.Change());
  ConfigurationUpdate update = this->sender.UpdateFrom(base);
  CHECK(this->receiver.Apply(update).error() == UpdateError::kUnknownBase);
  this->receiver.Add(other.Change());
  CHECK(this->receiver.Apply(update).error() == UpdateError::kUnknownBase);
  update.base_hash = this->receiver.latest_hash();
  CHECK(this->receiver.Apply(update).error() == UpdateError::kMalformed);
}

TEST(ConfigurationUpdates, DamagedUpdateGivesNoOtherDocument) {
  std::mt19937_64 random(1);
  ChangingDocument document(50, 1);
  this->sender.Add(document.Change());
  this->receiver.Add(this->sender.latest());
  this->sender.Add(document.Change());
  for (const std::uint64_t base :
       {this->receiver.latest_hash(), std::uint64_t{0}}) {
    for (int i = 0; i < 2000; ++i) {
      ConfigurationUpdate update = this->sender.UpdateFrom(base);
      update.bytes[random() % update.bytes.size()] ^=
          static_cast<char>(1 + random() % 255);
      if (random() % 4 == 0) {
        update.bytes.resize(random() % update.bytes.size());
      }
      const auto applied = this->receiver.Apply(update);
      CHECK(!applied || applied->value == this->sender.latest().value);
    }
  }
}

TEST(ConfigurationUpdates, SizeOfTheResultIsBounded) {
  const SharedDocument large{
      .key = "config", .revision = 1, .value = std::string(3 << 20U, 'x')};
  this->sender.Add(large);
  CHECK(this->receiver.Apply(this->sender.UpdateFrom(0)).error() ==
        UpdateError::kMalformed);
  this->sender.Add({.key = "config", .revision = 2, .value = "small"});
  ConfigurationUpdate update = this->sender.UpdateFrom(0);
  update.size = 1 << 20U;
  CHECK(this->receiver.Apply(update).error() == UpdateError::kMalformed);
}

// Guards against changes whose cost grows with the configuration.
TEST(ConfigurationUpdates, ChangeCostsFewBytesAtAnySize) {
  for (const int route_count : kRouteCounts) {
    ChangingDocument document(route_count, 1);
    ConfigurationHistory history(this->codec);
    history.Add(document.Change());
    for (int version = 0; version < 10; ++version) {
      const std::uint64_t base = history.latest_hash();
      history.Add(document.Change());
      CHECK(history.UpdateFrom(base).bytes.size() <= kMaxChangeBytes);
    }
  }
}

TEST_GROUP(ConfigurationRequests) {
  ConfigurationRequests requests{1};
  const std::vector<ConfigurationHolder> holders = {
      {.address = "near-1", .is_near = true},
      {.address = "near-2", .is_near = true},
      {.address = "far"}};
};

TEST(ConfigurationRequests, NobodyIsAskedWithoutALaterConfiguration) {
  for (int second = 0; second < 10; ++second) {
    CHECK(!this->requests.Next(1, {}, kStart + seconds(second)));
  }
}

TEST(ConfigurationRequests, NobodyIsAskedWhileThePushIsOnItsWay) {
  CHECK(!this->requests.Next(1, this->holders, kStart));
  CHECK(!this->requests.Next(1, this->holders, kStart + milliseconds(250)));
  CHECK(this->requests.Next(1, this->holders, kStart + milliseconds(300))
            .has_value());
}

// Guards against as many copies as there are others that have it.
TEST(ConfigurationRequests, OneIsAskedAtATimeAndThenTheOthers) {
  std::vector<std::string> asked;
  for (int tick = 0; tick <= 40; ++tick) {
    if (const auto address = this->requests.Next(
            1, this->holders, kStart + tick * milliseconds(50))) {
      asked.push_back(*address);
    }
  }
  CHECK_EQUAL(4, asked.size());
  CHECK(asked[0].starts_with("near") && asked[1].starts_with("near"));
  CHECK(asked[0] != asked[1]);
  STRCMP_EQUAL("far", asked[2].c_str());
}

TEST(ConfigurationRequests, NewVersionStartsTheWaitAgain) {
  CHECK(!this->requests.Next(1, this->holders, kStart));
  CHECK(!this->requests.Next(2, this->holders, kStart + milliseconds(300)));
  CHECK(this->requests.Next(2, this->holders, kStart + milliseconds(600))
            .has_value());
}

TEST_GROUP(LinkBudget){};

// Guards against documents that leave requests no room on a slow link.
TEST(LinkBudget, DocumentsTakeAShareOfTheLink) {
  constexpr double kLink = 1.25e6;
  constexpr std::size_t kDocument = 20'000;
  LinkBudget budget(kLink);
  std::size_t sent = 0;
  for (int tick = 0; tick < 200; ++tick) {
    while (budget.HasRoom(kStart + tick * milliseconds(50))) {
      budget.Spend(kDocument);
      sent += kDocument;
    }
  }
  CHECK(sent > 0.2 * kLink * 10);
  CHECK(sent < 0.3 * kLink * 10);
}

TEST(LinkBudget, LinkOfUnknownSpeedIsNotLimited) {
  LinkBudget budget(0);
  for (int i = 0; i < 100; ++i) {
    CHECK(budget.HasRoom(kStart));
    budget.Spend(1 << 20U);
  }
}
