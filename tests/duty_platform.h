// A store and a platform API under a virtual clock, with the faults that they
// may have.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "store/duty_calls.h"
#include "store/lease_store.h"

namespace rosemarycove {

// What is wrong between one instance and the platform.
struct DutyFaults {
  // No call arrives.
  bool is_store_cut = false;
  bool is_api_cut = false;
  // The store refuses each call and serves other instances.
  bool is_turned_away = false;
  // The process is frozen: no response is handled. What was sent arrives.
  bool is_frozen = false;
  // Reports neither arrive nor leave.
  bool is_peer_cut = false;
  // The share of calls whose response is lost; they are executed 1 to 6 s
  // later.
  double lost_store_calls = 0;
  double lost_api_calls = 0;
};

// A usage report as the API accepted it.
struct AcceptedUsage {
  std::string instance;
  std::uint64_t token = 0;
  UsageReport report;
  TimePoint at;
};

// The platform as all instances share it. Time passes only by Advance.
class DutyPlatform {
 public:
  explicit DutyPlatform(std::uint64_t seed) : random(seed) {}

  [[nodiscard]] TimePoint now() const { return this->time; }
  // Executes everything that is due up to now + step.
  void Advance(Duration step);
  void At(TimePoint time, std::function<void()> action);

  // The store's calls, executed now.
  tl::expected<StoreLease, LeaseStoreError> GrantLease(Duration ttl);
  tl::expected<Duration, LeaseStoreError> RenewLease(std::uint64_t lease);
  tl::expected<bool, LeaseStoreError> EndLease(std::uint64_t lease);
  StoreItem Read(const std::string& key);
  tl::expected<std::uint64_t, LeaseStoreError> Commit(
      const StoreTransaction& transaction);
  // Keeps a copy; comes back from it.
  void SaveCopy();
  void RestoreCopy();
  // Executes a call of the API.
  DutyCallResult Usage(const std::string& instance, std::uint64_t token,
                       const UsageReport& report);

  [[nodiscard]] Duration Random(Duration min, Duration max);
  [[nodiscard]] bool Chance(double share);

  std::uint64_t era = 0;
  // All calls get 503, or no response at all.
  bool is_store_down = false;
  bool is_api_down = false;
  bool is_api_throttled = false;
  // A report without a record that was written before is against the rules.
  bool requires_records = false;
  // The calls so far, by method.
  std::map<std::string, int> calls;
  std::vector<AcceptedUsage> accepted;
  int rejected_usage = 0;
  // By the rank of their call: what the invariants found broken.
  std::vector<std::string> violations;
  // Who used each token, and which tokens the API rejected.
  std::map<std::uint64_t, std::string> users_by_token;
  std::set<std::uint64_t> fenced_tokens;
  // Notes that an instance sends a call, and checks the rules.
  void NoteSent(const std::string& instance, std::uint64_t token);
  // The calls of the API that were sent.
  [[nodiscard]] std::size_t sent_count() const { return this->senders.size(); }
  [[nodiscard]] bool HasKey(const std::string& key) {
    this->ExpireLeases();
    return this->contents.items.contains(key);
  }

 private:
  struct Item {
    std::string value;
    std::uint64_t count = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    Duration ttl{};
    TimePoint ends_at;
  };
  struct Contents {
    std::map<std::string, Item> items;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t count = 100;
    std::uint64_t last_lease = 0;
  };

  void ExpireLeases();

  std::mt19937_64 random;
  TimePoint time{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> actions;
  Contents contents;
  Contents copy;
  std::uint64_t highest_token = 0;
  // All keys that were ever written.
  std::set<std::string> written_keys;
  // The senders of calls, in the order of sending.
  std::vector<std::pair<std::string, TimePoint>> senders;
  std::map<std::int64_t, UsageReport> reports_by_window;
};

// One call at a time with a timeout, for both fakes below.
class FakeCaller {
 public:
  FakeCaller(DutyPlatform& platform, DutyFaults& faults, Duration timeout)
      : platform(platform), faults(faults), timeout(timeout) {}
  ~FakeCaller() { *this->alive = false; }

  // Starts a call: `execute` runs at the platform, its result (an action of the
  // caller) is handled later unless it is lost. `fail` is handled on timeout.
  void Start(bool is_cut, double lost,
             std::function<std::function<void()>()> execute,
             std::function<void()> fail);
  [[nodiscard]] bool is_busy() const { return this->busy; }
  void Cancel();
  void Tick(TimePoint now);

 private:
  DutyPlatform& platform;
  DutyFaults& faults;
  Duration timeout;
  bool busy = false;
  std::uint64_t number = 0;
  TimePoint deadline;
  std::function<void()> on_timeout;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);

  void Deliver(std::uint64_t call, const std::function<void()>& action);
};

class FakeLeaseStore : public LeaseStore {
 public:
  FakeLeaseStore(DutyPlatform& platform, DutyFaults& faults,
                 Duration timeout = std::chrono::seconds(1))
      : platform(platform), faults(faults), caller(platform, faults, timeout) {}

  void GrantLease(Duration ttl, Done<StoreLease> done) override;
  void RenewLease(std::uint64_t lease, Done<Duration> done) override;
  void EndLease(std::uint64_t lease, Done<bool> done) override;
  void Read(const std::string& key, Done<StoreItem> done) override;
  void Commit(const StoreTransaction& transaction,
              Done<std::uint64_t> done) override;
  [[nodiscard]] std::uint64_t era() const override { return this->known_era; }
  [[nodiscard]] bool is_busy() const override { return this->caller.is_busy(); }
  void Cancel() override { this->caller.Cancel(); }
  void Tick(TimePoint now) override { this->caller.Tick(now); }

 private:
  template <typename Result>
  void Start(const std::string& method,
             std::function<tl::expected<Result, LeaseStoreError>()> execute,
             Done<Result> done);

  DutyPlatform& platform;
  DutyFaults& faults;
  FakeCaller caller;
  std::uint64_t known_era = 0;
};

class FakeDutyCalls : public DutyCalls {
 public:
  FakeDutyCalls(DutyPlatform& platform, DutyFaults& faults,
                std::string instance,
                Duration timeout = std::chrono::milliseconds(1200))
      : platform(platform),
        faults(faults),
        instance(std::move(instance)),
        caller(platform, faults, timeout) {}

  void SendUsage(const DutyGrant& grant, const UsageReport& report,
                 Done done) override;
  void SendOrder(const DutyGrant& grant, const EngineOrder& order,
                 Done done) override;
  [[nodiscard]] bool is_busy() const override { return this->caller.is_busy(); }
  void Cancel() override { this->caller.Cancel(); }
  void Tick(TimePoint now) override { this->caller.Tick(now); }

 private:
  DutyPlatform& platform;
  DutyFaults& faults;
  std::string instance;
  FakeCaller caller;
};

}  // namespace rosemarycove
