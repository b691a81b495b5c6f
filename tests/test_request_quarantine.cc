// Tests of the quarantine of prompt parts that crash servers, on a virtual
// clock.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <random>
#include <utility>

#include "core/request_quarantine.h"

// The test library's macros come last.
#include <CppUTest/TestHarness.h>

using namespace rosemarycove;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

using Suspects = RequestSuspects;

// How long a request runs before it crashes its server.
constexpr Duration kRunning = seconds(1);
constexpr std::uint64_t kDeadly = 0xdead;
constexpr std::uint64_t kContent = 0xc0;
constexpr std::uint64_t kCommon = 0xaa;
constexpr std::uint64_t kCustomer = 0xbb;
const Suspects kDeadlyPrompt = {.parts = {kCommon, kCustomer, kDeadly}};
const Suspects kSoundPrompt = {.parts = {kCommon, kCustomer}};
const Suspects kDeadlyPartOnly = {.parts = {kDeadly}};

TimePoint At(Duration since_start) {
  return TimePoint{} + minutes(10) + since_start;
}

bool IsQuarantined(const RequestQuarantine& quarantine, const Suspects& parts,
                   TimePoint now) {
  return quarantine.FindQuarantined(parts, now).has_value();
}

// Records crashes of three servers at three moments, the last one at `now`.
void RecordThreeCrashes(RequestQuarantine& quarantine, const Suspects& parts,
                        TimePoint now) {
  quarantine.RecordCrash("s1", parts, now - seconds(2) - kRunning,
                         now - seconds(2));
  quarantine.RecordCrash("s2", parts, now - seconds(1) - kRunning,
                         now - seconds(1));
  quarantine.RecordCrash("s3", parts, now - kRunning, now);
}

}  // namespace

TEST_GROUP(RequestQuarantine){};

TEST(RequestQuarantine, PartIsQuarantinedAfterThreeCrashes) {
  RequestQuarantine quarantine(1);
  quarantine.RecordCrash("s1", kDeadlyPartOnly, At(seconds(0)) - kRunning,
                         At(seconds(0)));
  quarantine.RecordCrash("s2", kDeadlyPartOnly, At(seconds(1)) - kRunning,
                         At(seconds(1)));
  CHECK(!IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(1))));
  quarantine.RecordCrash("s3", kDeadlyPartOnly, At(seconds(2)) - kRunning,
                         At(seconds(2)));
  const auto found =
      quarantine.FindQuarantined(kDeadlyPartOnly, At(seconds(2)));
  CHECK(found.has_value());
  CHECK_EQUAL(kDeadly, found->suspect);
  CHECK(found->remaining == seconds(15));
  const auto changes = quarantine.TakeChanges();
  CHECK_EQUAL(1U, changes.size());
  CHECK(changes[0].kind == QuarantineChange::Kind::kQuarantined);
  CHECK_EQUAL(1, quarantine.quarantined_count());
}

// Guards against the failure of many servers at the same moment being blamed on
// what they were answering.
TEST(RequestQuarantine, ServersThatCrashAtTheSameMomentDoNotSuffice) {
  RequestQuarantine quarantine(1);
  for (int i = 0; i < 20; ++i) {
    quarantine.RecordCrash("s" + std::to_string(i), kDeadlyPrompt,
                           At(milliseconds(10 * i)) - kRunning,
                           At(milliseconds(10 * i)));
  }
  CHECK(!IsQuarantined(quarantine, kDeadlyPrompt, At(seconds(1))));
}

// Guards against one crash counting several times, since it ends several
// requests with the part.
TEST(RequestQuarantine, CrashOfOneServerCountsOnce) {
  RequestQuarantine quarantine(1);
  for (int i = 0; i < 2; ++i) {
    for (int j = 0; j < 5; ++j) {
      quarantine.RecordCrash("s1", kDeadlyPartOnly,
                             At(seconds(3 * i) + milliseconds(j)) - kRunning,
                             At(seconds(3 * i) + milliseconds(j)));
    }
  }
  CHECK(!IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(4))));
  quarantine.RecordCrash("s1", kDeadlyPartOnly, At(seconds(6)) - kRunning,
                         At(seconds(6)));
  CHECK(IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(6))));
}

// Guards against sound requests being refused because those that crash servers
// have the same customer and the same first part.
TEST(RequestQuarantine, SuspectsThatServersSurviveAreNotBlamed) {
  RequestQuarantine quarantine(1);
  quarantine.RecordSurvival(kSoundPrompt, At(seconds(0)));
  RecordThreeCrashes(quarantine, kDeadlyPrompt, At(seconds(10)));
  CHECK(IsQuarantined(quarantine, kDeadlyPrompt, At(seconds(10))));
  CHECK(!IsQuarantined(quarantine, kSoundPrompt, At(seconds(10))));
}

TEST(RequestQuarantine, PartThatIsSurvivedLaterIsReleased) {
  RequestQuarantine quarantine(1);
  RecordThreeCrashes(quarantine, kSoundPrompt, At(seconds(10)));
  CHECK(IsQuarantined(quarantine, kSoundPrompt, At(seconds(10))));
  quarantine.RecordSurvival(kSoundPrompt, At(seconds(11)));
  CHECK(!IsQuarantined(quarantine, kSoundPrompt, At(seconds(11))));
  const auto changes = quarantine.TakeChanges();
  CHECK_EQUAL(2U, changes.size());
  CHECK(changes[1].kind == QuarantineChange::Kind::kReleased);
}

// Guards against sound requests of a customer being refused because none of
// them was answered between the crashes.
TEST(RequestQuarantine, MostSpecificPartExplainsTheCrashes) {
  RequestQuarantine quarantine(1);
  RecordThreeCrashes(quarantine, kDeadlyPrompt, At(seconds(10)));
  quarantine.RecordCrash("s3", kSoundPrompt, At(seconds(10)) - kRunning,
                         At(seconds(10)));
  CHECK(IsQuarantined(quarantine, kDeadlyPrompt, At(seconds(10))));
  CHECK(!IsQuarantined(quarantine, kSoundPrompt, At(seconds(10))));
  CHECK_EQUAL(1, quarantine.quarantined_count());
}

// Guards against a part that crashes servers being missed because other parts
// follow it.
TEST(RequestQuarantine, PartBeforeOthersIsFound) {
  RequestQuarantine quarantine(1);
  for (std::uint64_t i = 0; i < 3; ++i) {
    quarantine.RecordCrash("s" + std::to_string(i),
                           Suspects{.parts = {kDeadly, 100 + i}},
                           At(seconds(i)) - kRunning, At(seconds(i)));
  }
  CHECK(IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(2))));
  // The part that follows explains further crashes only if it has enough.
  RecordThreeCrashes(quarantine, Suspects{.parts = {kDeadly, 200}},
                     At(seconds(6)));
  CHECK(IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(6))));
}

TEST(RequestQuarantine, PartThatBeginsToCrashServersIsQuarantinedInTheEnd) {
  RequestQuarantine quarantine(1);
  quarantine.RecordSurvival(kDeadlyPartOnly, At(seconds(0)));
  RecordThreeCrashes(quarantine, kDeadlyPartOnly, At(seconds(19)));
  CHECK(!IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(19))));
  RecordThreeCrashes(quarantine, kDeadlyPartOnly, At(seconds(25)));
  CHECK(IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(25))));
}

// Guards against each instance having to see the crashes itself.
TEST(RequestQuarantine, CrashesOfDifferentInstancesAddUp) {
  RequestQuarantine first(1);
  RequestQuarantine second(2);
  first.RecordCrash("s1", kDeadlyPartOnly, At(seconds(0)) - kRunning,
                    At(seconds(0)));
  first.RecordCrash("s2", kDeadlyPartOnly, At(seconds(1)) - kRunning,
                    At(seconds(1)));
  second.RecordCrash("s2", kDeadlyPartOnly, At(seconds(1)) - kRunning,
                     At(seconds(1)));
  second.RecordCrash("s3", kDeadlyPartOnly, At(seconds(2)) - kRunning,
                     At(seconds(2)));
  first.Merge(second.Records(At(seconds(2))), At(seconds(2)));
  CHECK(IsQuarantined(first, kDeadlyPartOnly, At(seconds(2))));
  CHECK(!IsQuarantined(second, kDeadlyPartOnly, At(seconds(2))));
  // An instance that starts learns of the quarantine.
  RequestQuarantine third(3);
  third.Merge(first.Records(At(seconds(3))), At(seconds(3)));
  CHECK(IsQuarantined(third, kDeadlyPartOnly, At(seconds(3))));
  // A crash that two instances saw is one.
  CHECK_EQUAL(3, third.TakeChanges().at(0).crashes);
}

// Guards against an instance that has seen no sound request refusing them.
TEST(RequestQuarantine, SurvivalsThatOtherInstancesSawReleaseAPart) {
  RequestQuarantine first(1);
  RequestQuarantine second(2);
  RecordThreeCrashes(first, kDeadlyPrompt, At(seconds(10)));
  second.RecordSurvival(kSoundPrompt, At(seconds(5)));
  second.Merge(first.Records(At(seconds(10))), At(seconds(10)));
  first.Merge(second.Records(At(seconds(10))), At(seconds(10)));
  CHECK(!IsQuarantined(first, kSoundPrompt, At(seconds(10))));
  CHECK(!IsQuarantined(second, kSoundPrompt, At(seconds(10))));
  CHECK(IsQuarantined(second, kDeadlyPrompt, At(seconds(10))));
}

// Guards against all instances testing a part at the same time, and against a
// quarantine without an end.
TEST(RequestQuarantine, OneInstanceSendsOneTrialAtATime) {
  RequestQuarantine leader(1);
  RequestQuarantine follower(2);
  leader.SetTrialRank(0);
  RecordThreeCrashes(leader, kDeadlyPartOnly, At(seconds(0)));
  follower.Merge(leader.Records(At(seconds(0))), At(seconds(0)));
  CHECK(IsQuarantined(leader, kDeadlyPartOnly, At(seconds(14))));
  CHECK(!IsQuarantined(leader, kDeadlyPartOnly, At(seconds(15))));
  CHECK(IsQuarantined(follower, kDeadlyPartOnly, At(seconds(16))));
  leader.RecordSend(kDeadlyPartOnly, At(seconds(16)));
  CHECK(IsQuarantined(leader, kDeadlyPartOnly, At(seconds(17))));
  leader.RecordCrash("s4", kDeadlyPartOnly, At(seconds(17)) - kRunning,
                     At(seconds(17)));
  CHECK(IsQuarantined(leader, kDeadlyPartOnly, At(seconds(46))));
  CHECK(!IsQuarantined(leader, kDeadlyPartOnly, At(seconds(47))));
  leader.RecordSend(kDeadlyPartOnly, At(seconds(47)));
  leader.RecordSurvival(kDeadlyPartOnly, At(seconds(48)));
  follower.Merge(leader.Records(At(seconds(48))), At(seconds(48)));
  CHECK(!IsQuarantined(leader, kDeadlyPartOnly, At(seconds(48))));
  CHECK(!IsQuarantined(follower, kDeadlyPartOnly, At(seconds(48))));
}

// Guards against a false blame that stays since the instance that tests it gets
// no such request.
TEST(RequestQuarantine, OtherInstancesSendTheTrialIfTheFirstOneDoesNot) {
  RequestQuarantine second(2);
  second.SetTrialRank(1);
  RecordThreeCrashes(second, kDeadlyPartOnly, At(seconds(0)));
  CHECK(IsQuarantined(second, kDeadlyPartOnly, At(seconds(17))));
  CHECK(!IsQuarantined(second, kDeadlyPartOnly, At(seconds(18))));
}

TEST(RequestQuarantine, TrialWithoutAResultIsRepeated) {
  RequestQuarantine leader(1);
  leader.SetTrialRank(0);
  RecordThreeCrashes(leader, kDeadlyPartOnly, At(seconds(0)));
  CHECK(leader.RecordSend(kDeadlyPartOnly, At(seconds(30))));
  CHECK(IsQuarantined(leader, kDeadlyPartOnly, At(seconds(39))));
  CHECK(!IsQuarantined(leader, kDeadlyPartOnly, At(seconds(40))));
}

// Guards against a request that crashes three servers within moments, since it
// is sent again at once, not being blamed.
TEST(RequestQuarantine, RetriesThatCrashServersCountAsMoments) {
  RequestQuarantine quarantine(1);
  quarantine.RecordCrash("s1", kDeadlyPartOnly, At(milliseconds(0)) - kRunning,
                         At(milliseconds(0)));
  quarantine.RecordCrash("s2", kDeadlyPartOnly, At(milliseconds(40)),
                         At(milliseconds(40)));
  CHECK(!IsQuarantined(quarantine, kDeadlyPartOnly, At(milliseconds(40))));
  RequestQuarantine other(2);
  other.Merge(quarantine.Records(At(milliseconds(50))), At(milliseconds(50)));
  other.RecordCrash("s3", kDeadlyPartOnly, At(milliseconds(60)) - kRunning,
                    At(milliseconds(60)));
  CHECK(IsQuarantined(other, kDeadlyPartOnly, At(milliseconds(60))));
}

// Guards against news being lost or repeated when there are more than fit into
// a report.
TEST(RequestQuarantine, EachChangeIsToldOnceToEachPeer) {
  RequestQuarantine sender(1);
  RequestQuarantine receiver(2);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    sender.RecordCrash("s", Suspects{.parts = {id}}, At(seconds(0)),
                       At(seconds(1)));
  }
  std::uint64_t told = 0;
  std::size_t records = 0;
  for (int report = 0; report < 3; ++report) {
    const auto news = sender.RecordsSince(told, At(seconds(1)));
    CHECK(news.size() <= 32);
    records += news.size();
    receiver.Merge(news, At(seconds(1)));
  }
  CHECK_EQUAL(50U, records);
  CHECK(sender.RecordsSince(told, At(seconds(2))).empty());
  // What the receiver learned is not news of its own.
  told = 0;
  CHECK(receiver.RecordsSince(told, At(seconds(2))).empty());
  sender.RecordSurvival(Suspects{.parts = {7}}, At(seconds(3)));
  told = sender.last_change() - 1;
  const auto survival = sender.RecordsSince(told, At(seconds(3)));
  CHECK_EQUAL(1U, survival.size());
  CHECK(survival.at(0).survival_age.has_value());
}

// Guards against a part that crashes servers being missed because each request
// with it, sent again several times, crashes enough of them by itself.
TEST(RequestQuarantine, PartOfSeveralRequestsExplainsTheirCrashes) {
  RequestQuarantine quarantine(1);
  const Suspects first = {kContent, 1001, {kCommon, kDeadly}};
  const Suspects second = {kContent, 1002, {kCommon, kDeadly}};
  RecordThreeCrashes(quarantine, first, At(seconds(2)));
  CHECK(IsQuarantined(quarantine, first, At(seconds(2))));
  CHECK(!IsQuarantined(quarantine, second, At(seconds(2))));
  quarantine.RecordCrash("s4", second, At(seconds(2)), At(seconds(3)));
  CHECK(
      IsQuarantined(quarantine, Suspects{.parts = {kDeadly}}, At(seconds(3))));
  CHECK(
      !IsQuarantined(quarantine, Suspects{.parts = {kCommon}}, At(seconds(3))));
  CHECK(!IsQuarantined(quarantine, Suspects{.content_hash = kContent},
                       At(seconds(3))));
  // Also when each of the requests has enough crashes.
  RecordThreeCrashes(quarantine, second, At(seconds(6)));
  CHECK(
      IsQuarantined(quarantine, Suspects{.parts = {kDeadly}}, At(seconds(6))));
}

// Guards against sound requests being refused because one that comes again has
// the same parts.
TEST(RequestQuarantine, RequestThatComesAgainIsBlamedInPlaceOfItsParts) {
  RequestQuarantine quarantine(1);
  RecordThreeCrashes(quarantine, Suspects{kContent, 1001, {kCommon, kCustomer}},
                     At(seconds(2)));
  CHECK(IsQuarantined(quarantine, Suspects{.request_hash = 1001},
                      At(seconds(2))));
  CHECK_EQUAL(1, quarantine.quarantined_count());
}

// Guards against a suspect being forgotten under a flood of requests that are
// all different and each at one crash.
TEST(RequestQuarantine, FloodOfSingleCrashesDoesNotHideASuspect) {
  RequestQuarantine quarantine(1);
  // Larger than the id of the suspect.
  std::uint64_t next_id = 100000;
  const auto flood = [&](int count, TimePoint now) {
    for (int i = 0; i < count; ++i) {
      quarantine.RecordCrash("t", Suspects{.parts = {++next_id}},
                             now - kRunning, now + milliseconds(i));
    }
  };
  flood(40, At(-seconds(1)));
  for (int i = 0; i < 3; ++i) {
    quarantine.RecordCrash("s" + std::to_string(i), kDeadlyPartOnly,
                           At(seconds(i)) - kRunning, At(seconds(i)));
    flood(30, At(seconds(i) + milliseconds(1)));
  }
  CHECK(IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(3))));
}

// Guards against instances telling each other of a crash forever, since ages in
// reports lack the time that the report took.
TEST(RequestQuarantine, CrashesExpireAtAllInstances) {
  constexpr Duration kDelay = seconds(3);
  std::vector<RequestQuarantine> fleet = {
      RequestQuarantine(1), RequestQuarantine(2), RequestQuarantine(3)};
  RecordThreeCrashes(fleet[0], kDeadlyPartOnly, At(seconds(0)));
  for (Duration now{}; now < minutes(40); now += seconds(1)) {
    std::vector<std::vector<SuspectCrashes>> reports;
    for (RequestQuarantine& instance : fleet) {
      instance.Tick(At(now));
      reports.push_back(instance.Records(At(now)));
    }
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      for (std::size_t j = 0; j < fleet.size(); ++j) {
        if (i != j) {
          fleet[i].Merge(reports[j], At(now + kDelay));
        }
      }
    }
    if (now == minutes(20)) {
      CHECK(IsQuarantined(fleet[2], kDeadlyPartOnly, At(now)));
    }
  }
  for (const RequestQuarantine& instance : fleet) {
    CHECK(instance.Records(At(minutes(40))).empty());
  }
}

TEST(RequestQuarantine, NumberOfSuspectsIsLimited) {
  RequestQuarantine quarantine(1);
  RecordThreeCrashes(quarantine, kDeadlyPartOnly, At(seconds(0)));
  for (std::uint64_t part = 1; part < 1000; ++part) {
    quarantine.RecordCrash("s1", Suspects{.parts = {part}},
                           At(seconds(1)) - kRunning, At(seconds(1)));
  }
  CHECK(quarantine.Records(At(seconds(1))).size() <= 64);
  CHECK(IsQuarantined(quarantine, kDeadlyPartOnly, At(seconds(1))));
}

namespace {

constexpr char kRapidCheckParameters[] = "seed=20261204 max_success=300";
// Time in which instances may still act on what they knew before.
constexpr Duration kContactTime = seconds(3);
constexpr int kMaxLateSends = 3;

// Instances that share servers, some of which crash under a part.
class FleetSimulation {
 public:
  struct Options {
    int instances = 9;
    int servers = 10;
    // Requests per second of the whole fleet.
    double sound_rate = 50;
    double deadly_rate = 1;
    Duration report_interval = milliseconds(100);
    // Time between two restarts of an instance; zero for none.
    Duration restart_interval{};
    // Time between two failures of a third of the servers; zero for none.
    Duration outage_interval{};
  };

  FleetSimulation(const Options& options, std::uint32_t seed)
      : options(options), random(seed) {
    for (int i = 0; i < options.instances; ++i) {
      this->fleet.emplace_back(this->random());
    }
    this->servers.resize(options.servers);
    // They started long before.
    this->started_at.resize(options.instances);
  }

  void Run(Duration duration) {
    for (; this->now < At(duration); this->now += kStep) {
      this->Arrive(kSoundPrompt, this->options.sound_rate);
      this->Arrive(kDeadlyPrompt, this->options.deadly_rate);
      this->Advance();
      this->Report();
      this->Disturb();
    }
  }

  // Requests with the deadly part that were sent more than kContactTime after
  // the fifth crash, by instances that had not started within this time.
  [[nodiscard]] int LateSends() const {
    if (this->crashes.size() < 5) {
      return 0;
    }
    return static_cast<int>(std::count_if(
        this->deadly_sends.begin(), this->deadly_sends.end(),
        [&](TimePoint at) { return at > this->crashes[4] + kContactTime; }));
  }
  // Sound requests that were refused more than kContactTime after the last
  // crash under the deadly part, and all that arrived then.
  [[nodiscard]] std::pair<int, int> LateSoundRefusals() const {
    int refused = 0;
    int all = 0;
    for (const auto& [at, sent] : this->sound_arrivals) {
      if (!this->crashes.empty() && at > this->crashes.back() + kContactTime) {
        ++all;
        refused += sent ? 0 : 1;
      }
    }
    return {refused, all};
  }
  [[nodiscard]] int SoundRefusalCount() const {
    return static_cast<int>(
        std::count_if(this->sound_arrivals.begin(), this->sound_arrivals.end(),
                      [](const auto& arrival) { return !arrival.second; }));
  }

 private:
  static constexpr Duration kStep = milliseconds(25);

  struct Running {
    std::size_t instance;
    const Suspects* parts;
    TimePoint first_event_at;
  };
  struct Server {
    std::vector<Running> running;
    TimePoint back_at;
  };

  bool Chance(double rate) {
    return std::bernoulli_distribution(rate * ToSeconds(kStep))(this->random);
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }
  void Arrive(const Suspects& parts, double rate) {
    for (; rate > 0; rate -= 1 / ToSeconds(kStep)) {
      if (!this->Chance(std::min(rate, 1 / ToSeconds(kStep)))) {
        continue;
      }
      const std::size_t instance = this->Pick(this->fleet.size());
      const bool sent = !IsQuarantined(this->fleet[instance], parts, this->now);
      if (&parts == &kSoundPrompt) {
        this->sound_arrivals.emplace_back(this->now, sent);
      }
      if (!sent) {
        continue;
      }
      Server& server = this->servers[this->Pick(this->servers.size())];
      if (this->now < server.back_at) {
        continue;
      }
      if (&parts == &kDeadlyPrompt &&
          this->now - this->started_at[instance] > kContactTime) {
        this->deadly_sends.push_back(this->now);
      }
      this->fleet[instance].RecordSend(parts, this->now);
      server.running.push_back(
          {.instance = instance,
           .parts = &parts,
           .first_event_at =
               this->now + milliseconds(50 + 10 * this->Pick(60))});
    }
  }
  void Advance() {
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      Server& server = this->servers[i];
      bool crash = false;
      std::erase_if(server.running, [&](const Running& request) {
        if (this->now < request.first_event_at) {
          return false;
        }
        if (request.parts == &kDeadlyPrompt) {
          crash = true;
          return false;
        }
        this->fleet[request.instance].RecordSurvival(*request.parts, this->now);
        return true;
      });
      if (crash) {
        this->crashes.push_back(this->now);
        this->Crash(i);
      }
    }
  }
  void Crash(std::size_t index) {
    Server& server = this->servers[index];
    for (const Running& request : server.running) {
      this->fleet[request.instance].RecordCrash(
          "s" + std::to_string(index), *request.parts, this->now - kRunning,
          this->now);
    }
    server.running.clear();
    server.back_at = this->now + seconds(3);
  }
  void Report() {
    if (this->now < this->next_report) {
      return;
    }
    this->next_report = this->now + this->options.report_interval;
    for (std::size_t i = 0; i < this->fleet.size(); ++i) {
      this->fleet[i].SetTrialRank(static_cast<int>(i));
      this->fleet[i].Tick(this->now);
    }
    for (std::size_t from = 0; from < this->fleet.size(); ++from) {
      for (std::size_t to = 0; to < this->fleet.size(); ++to) {
        if (from != to) {
          this->fleet[to].Merge(this->RecordsFor(from, to), this->now);
        }
      }
    }
  }
  std::vector<SuspectCrashes> RecordsFor(std::size_t from, std::size_t to) {
    const RequestQuarantine& sender = this->fleet[from];
    const auto [found, is_first] =
        this->told.try_emplace({from, to}, sender.last_change());
    return is_first ? sender.Records(this->now)
                    : sender.RecordsSince(found->second, this->now);
  }
  void Disturb() {
    if (this->options.restart_interval > Duration{} &&
        this->now >= this->next_restart) {
      this->next_restart = this->now + this->options.restart_interval;
      const std::size_t instance = this->Pick(this->fleet.size());
      this->fleet[instance] = RequestQuarantine(this->random());
      this->started_at[instance] = this->now;
      std::erase_if(this->told, [instance](const auto& item) {
        return item.first.first == instance || item.first.second == instance;
      });
      for (Server& server : this->servers) {
        std::erase_if(server.running, [instance](const Running& request) {
          return request.instance == instance;
        });
      }
    }
    if (this->options.outage_interval > Duration{} &&
        this->now >= this->next_outage) {
      this->next_outage = this->now + this->options.outage_interval;
      for (std::size_t i = 0; i < this->servers.size() / 3; ++i) {
        this->Crash(i);
      }
    }
  }

  Options options;
  std::mt19937 random;
  TimePoint now = At(Duration{});
  TimePoint next_report = this->now;
  TimePoint next_restart = this->now + seconds(1);
  TimePoint next_outage = this->now + seconds(1);
  std::vector<RequestQuarantine> fleet;
  // When each instance last started.
  std::vector<TimePoint> started_at;
  // The last change that was reported, by sender and receiver.
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> told;
  std::vector<Server> servers;
  std::vector<TimePoint> crashes;
  std::vector<TimePoint> deadly_sends;
  std::vector<std::pair<TimePoint, bool>> sound_arrivals;
};

}  // namespace

TEST_GROUP(RequestQuarantineFleet){
    void setup() override{setenv("RC_PARAMS", kRapidCheckParameters, 1);
}
}
;

TEST(RequestQuarantineFleet, FewRequestsReachServersAfterTheFifthCrash) {
  CHECK(rc::check("deadly requests at any rate", [](std::uint32_t seed) {
    FleetSimulation simulation(
        // With fewer instances, a restart may make the fleet forget everything.
        {.instances = *rc::gen::inRange(3, 20),
         .servers = *rc::gen::inRange(3, 40),
         .sound_rate = static_cast<double>(*rc::gen::inRange(10, 200)),
         .deadly_rate = 0.2 * *rc::gen::inRange(1, 50),
         .report_interval = milliseconds(*rc::gen::inRange(1, 7) * 100),
         .restart_interval = seconds(*rc::gen::inRange(0, 6)),
         .outage_interval = seconds(*rc::gen::inRange(0, 8))},
        seed);
    simulation.Run(seconds(40));
    RC_ASSERT(simulation.LateSends() <= kMaxLateSends);
    const auto [refused, all] = simulation.LateSoundRefusals();
    RC_ASSERT(2 * refused <= all);
  }));
}

// Guards against sound parts being quarantined when servers fail for other
// reasons.
TEST(RequestQuarantineFleet, OutagesOfServersQuarantineNothing) {
  CHECK(rc::check("outages without deadly requests", [](std::uint32_t seed) {
    FleetSimulation simulation(
        {.instances = *rc::gen::inRange(1, 20),
         .servers = *rc::gen::inRange(3, 40),
         .sound_rate = static_cast<double>(*rc::gen::inRange(10, 200)),
         .deadly_rate = 0,
         .report_interval = milliseconds(*rc::gen::inRange(1, 7) * 100),
         .restart_interval = seconds(*rc::gen::inRange(0, 6)),
         .outage_interval = milliseconds(*rc::gen::inRange(300, 3000))},
        seed);
    simulation.Run(seconds(30));
    RC_ASSERT(simulation.SoundRefusalCount() == 0);
  }));
}
