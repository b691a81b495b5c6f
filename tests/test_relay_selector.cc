// Tests of the choice of the instance that a request is relayed to.
#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/load_ledger.h"
#include "core/relay_selector.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

RelayCandidate CandidateOf(const std::string& instance,
                           const std::string& data_centre = "north") {
  return {.peer = {.instance = instance,
                   .address = "10.0.0.1:1",
                   .data_centre = data_centre,
                   .configuration_version = 5}};
}

RelayQuery QueryOf(const std::string& data_centre = "north") {
  return {.service = "model",
          .data_centre = data_centre,
          .min_configuration_version = 5};
}

std::string NameOf(int instance) { return "i" + std::to_string(instance); }

}  // namespace

TEST_GROUP(RelaySelector) {
  RelaySelector selector{std::mt19937_64(1)};

  std::string ChosenName(const RelayQuery& query, TimePoint now = kStart) {
    const auto chosen = this->selector.Choose(query, now);
    CHECK(chosen.has_value() == this->selector.HasPeer(query, now));
    return chosen ? chosen->instance : "none";
  }
  void Fail(const std::string& instance, TimePoint now) {
    this->selector.RecordSend(instance, now);
    this->selector.RecordResult(instance, false, now);
    this->selector.RecordEnd(instance);
  }
};

// Nine instances are cut off, three are sound; in each case they are spread
// differently over three data centres. All requests last equally long.
TEST(RelaySelector, SoundPeersShareTheRequestsOfCutInstances) {
  constexpr int kInstances = 12;
  constexpr int kCut = 9;
  constexpr int kRounds = 400;
  constexpr std::size_t kUnderWayPerInstance = 12;
  const std::vector<std::string> layouts = {"abcabcabcabc", "aaaaabbbbccc",
                                            "aaaaaaaaabcc", "aaaabbbbccca"};
  for (const std::string& layout : layouts) {
    const auto centre = [&layout](int instance) {
      return std::string(1, layout[static_cast<std::size_t>(instance)]);
    };
    std::map<std::string, int> counts;
    for (int own = 0; own < kCut; ++own) {
      RelaySelector own_selector{
          std::mt19937_64(static_cast<std::uint64_t>(own))};
      std::vector<RelayCandidate> peers;
      for (int peer = 0; peer < kInstances; ++peer) {
        if (peer != own) {
          peers.push_back(CandidateOf(NameOf(peer), centre(peer)));
        }
        if (peer != own && peer < kCut) {
          peers.back().unreachable_services = {IdHash("other"),
                                               IdHash("model")};
        }
      }
      own_selector.SetPeers(peers);
      std::deque<std::string> under_way;
      for (int round = 0; round < kRounds; ++round) {
        const auto chosen = own_selector.Choose(QueryOf(centre(own)), kStart);
        own_selector.RecordSend(chosen->instance, kStart);
        under_way.push_back(chosen->instance);
        ++counts[chosen->instance];
        if (under_way.size() > kUnderWayPerInstance) {
          own_selector.RecordEnd(under_way.front());
          under_way.pop_front();
        }
      }
    }
    CHECK_EQUAL(3U, counts.size());
    for (int sound = kCut; sound < kInstances; ++sound) {
      const int share = kCut * kRounds / (kInstances - kCut);
      CHECK(counts[NameOf(sound)] <= 2 * share);
      CHECK(counts[NameOf(sound)] >= share / 4);
    }
  }
}

TEST(RelaySelector, UnsuitablePeersAreNeverChosen) {
  RelayCandidate old = CandidateOf("old");
  old.peer.configuration_version = 4;
  RelayCandidate without_address = CandidateOf("without_address");
  without_address.peer.address.clear();
  RelayCandidate cut = CandidateOf("cut");
  cut.unreachable_services = {IdHash("model")};
  RelayCandidate partly_cut = CandidateOf("partly_cut");
  partly_cut.unreachable_services = {IdHash("shop")};
  this->selector.SetPeers(
      {old, without_address, cut, partly_cut, CandidateOf("tried")});
  RelayQuery query = QueryOf();
  query.tried = {"tried"};
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("partly_cut", this->ChosenName(query).c_str());
  }
  query.tried.emplace_back("partly_cut");
  STRCMP_EQUAL("none", this->ChosenName(query).c_str());
  this->selector.SetPeers({});
  STRCMP_EQUAL("none", this->ChosenName(QueryOf()).c_str());
}

TEST(RelaySelector, OwnDataCentreIsPreferredWhileItHasRoom) {
  this->selector.SetPeers({CandidateOf("near"), CandidateOf("far1", "south"),
                           CandidateOf("far2", "south"),
                           CandidateOf("far3", "south")});
  std::map<std::string, int> counts;
  for (int i = 0; i < 20; ++i) {
    const std::string chosen = this->ChosenName(QueryOf());
    ++counts[chosen];
    this->selector.RecordSend(chosen, kStart);
    if (i < 4) {
      STRCMP_EQUAL("near", chosen.c_str());
    }
  }
  CHECK(counts["near"] <= 11);
  CHECK(counts["near"] >= 6);
  for (const auto& [instance, count] : counts) {
    for (int i = 0; i < count; ++i) {
      this->selector.RecordEnd(instance);
    }
  }
  STRCMP_EQUAL("near", this->ChosenName(QueryOf()).c_str());
  CHECK(this->ChosenName(QueryOf("south")) != "near");
}

TEST(RelaySelector, PeerThatFailsIsEjectedAndReturnsByATest) {
  this->selector.SetPeers({CandidateOf("a"), CandidateOf("b", "south")});
  const RelayQuery query = QueryOf();
  this->Fail("a", kStart);
  STRCMP_EQUAL("a", this->ChosenName(query).c_str());
  this->Fail("a", kStart);
  STRCMP_EQUAL("b", this->ChosenName(query).c_str());
  STRCMP_EQUAL("b",
               this->ChosenName(query, kStart + milliseconds(999)).c_str());
  // One request tests it; its failure ejects it for twice as long.
  TimePoint now = kStart + seconds(1);
  for (const int ejection_s : {2, 4, 4}) {
    STRCMP_EQUAL("a", this->ChosenName(query, now).c_str());
    this->selector.RecordSend("a", now);
    STRCMP_EQUAL("b", this->ChosenName(query, now).c_str());
    this->selector.RecordResult("a", false, now);
    this->selector.RecordEnd("a");
    now += seconds(ejection_s);
    STRCMP_EQUAL("b", this->ChosenName(query, now - milliseconds(1)).c_str());
  }
  this->selector.RecordSend("a", now);
  this->selector.RecordResult("a", true, now);
  STRCMP_EQUAL("a", this->ChosenName(query, now).c_str());
  this->Fail("a", now);
  STRCMP_EQUAL("a", this->ChosenName(query, now).c_str());
}

// A test that is cancelled has no result.
TEST(RelaySelector, TestWithoutAResultIsRepeated) {
  this->selector.SetPeers({CandidateOf("a")});
  this->Fail("a", kStart);
  this->Fail("a", kStart);
  STRCMP_EQUAL("none", this->ChosenName(QueryOf()).c_str());
  const TimePoint tested = kStart + seconds(1);
  this->selector.RecordSend("a", tested);
  this->selector.RecordEnd("a");
  STRCMP_EQUAL("none",
               this->ChosenName(QueryOf(), tested + seconds(1)).c_str());
  STRCMP_EQUAL("a", this->ChosenName(QueryOf(), tested + seconds(2)).c_str());
}

TEST(RelaySelector, CountsOutliveAPeersAbsence) {
  this->selector.SetPeers({CandidateOf("a"), CandidateOf("b")});
  for (int i = 0; i < 5; ++i) {
    this->selector.RecordSend("a", kStart);
  }
  this->selector.SetPeers({CandidateOf("b")});
  this->selector.SetPeers({CandidateOf("a"), CandidateOf("b")});
  int chosen_a = 0;
  for (int i = 0; i < 100; ++i) {
    chosen_a += this->ChosenName(QueryOf()) == "a" ? 1 : 0;
  }
  CHECK(chosen_a < 40);
  for (int i = 0; i < 6; ++i) {
    this->selector.RecordEnd("a");
  }
  this->selector.RecordEnd("unknown");
}
