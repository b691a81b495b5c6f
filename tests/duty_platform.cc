#include "tests/duty_platform.h"

#include <utility>

#include "core/store_revision.h"

namespace rosemarycove {
namespace {

constexpr Duration kMinLatency = std::chrono::milliseconds(1);
constexpr Duration kMaxLatency = std::chrono::milliseconds(8);
constexpr Duration kMinLateness = std::chrono::seconds(1);
constexpr Duration kMaxLateness = std::chrono::seconds(6);
// Within a lease after its last call, no instance acts again after another one
// has acted.
constexpr Duration kAlternationTime = std::chrono::seconds(3);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);

LeaseStoreError Failure(LeaseStoreErrorKind kind) {
  return {.kind = kind, .message = "fake"};
}

}  // namespace

void DutyPlatform::Advance(Duration step) {
  const TimePoint end = this->time + step;
  while (!this->actions.empty() && this->actions.begin()->first <= end) {
    auto first = this->actions.extract(this->actions.begin());
    this->time = std::max(this->time, first.key());
    first.mapped()();
  }
  this->time = end;
}

void DutyPlatform::At(TimePoint when, std::function<void()> action) {
  this->actions.emplace(when, std::move(action));
}

Duration DutyPlatform::Random(Duration min, Duration max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      min.count(), max.count())(this->random));
}

bool DutyPlatform::Chance(double share) {
  return std::bernoulli_distribution(share)(this->random);
}

void DutyPlatform::ExpireLeases() {
  std::erase_if(this->contents.leases, [&](const auto& item) {
    return item.second.ends_at <= this->time;
  });
  std::erase_if(this->contents.items, [&](const auto& item) {
    return item.second.lease != 0 &&
           !this->contents.leases.contains(item.second.lease);
  });
}

tl::expected<StoreLease, LeaseStoreError> DutyPlatform::GrantLease(
    Duration ttl) {
  const std::uint64_t id = ++this->contents.last_lease;
  this->contents.leases[id] = {.ttl = ttl, .ends_at = this->time + ttl};
  return StoreLease{.id = id, .ttl = ttl};
}

tl::expected<Duration, LeaseStoreError> DutyPlatform::RenewLease(
    std::uint64_t lease) {
  this->ExpireLeases();
  const auto found = this->contents.leases.find(lease);
  if (found == this->contents.leases.end()) {
    return tl::unexpected(Failure(LeaseStoreErrorKind::kNoLease));
  }
  found->second.ends_at = this->time + found->second.ttl;
  return found->second.ttl;
}

tl::expected<bool, LeaseStoreError> DutyPlatform::EndLease(
    std::uint64_t lease) {
  this->contents.leases.erase(lease);
  this->ExpireLeases();
  return true;
}

StoreItem DutyPlatform::Read(const std::string& key) {
  this->ExpireLeases();
  const auto found = this->contents.items.find(key);
  if (found == this->contents.items.end()) {
    return {.key = key};
  }
  return {.key = key,
          .value = found->second.value,
          .revision = *MakeRevision(this->era, found->second.count)};
}

tl::expected<std::uint64_t, LeaseStoreError> DutyPlatform::Commit(
    const StoreTransaction& transaction) {
  this->ExpireLeases();
  bool holds = true;
  LeaseStoreError conflict = Failure(LeaseStoreErrorKind::kConflict);
  for (const KeyCondition& condition : transaction.conditions) {
    conflict.items.push_back(this->Read(condition.key));
    holds &=
        CountOf(conflict.items.back().revision) == CountOf(condition.revision);
  }
  if (!holds) {
    return tl::unexpected(conflict);
  }
  for (const KeyWrite& write : transaction.writes) {
    if (write.lease != 0 && !this->contents.leases.contains(write.lease)) {
      return tl::unexpected(Failure(LeaseStoreErrorKind::kNoLease));
    }
  }
  ++this->contents.count;
  for (const KeyWrite& write : transaction.writes) {
    this->written_keys.insert(write.key);
    this->contents.items[write.key] = {.value = write.value,
                                       .count = this->contents.count,
                                       .lease = write.lease};
  }
  for (const std::string& key : transaction.removals) {
    this->contents.items.erase(key);
  }
  return *MakeRevision(this->era, this->contents.count);
}

void DutyPlatform::SaveCopy() { this->copy = this->contents; }

void DutyPlatform::RestoreCopy() {
  this->contents = this->copy;
  ++this->era;
}

void DutyPlatform::NoteSent(const std::string& instance, std::uint64_t token) {
  const auto [user, is_new] = this->users_by_token.emplace(token, instance);
  if (user->second != instance) {
    this->violations.push_back("two instances used one token");
  }
  if (this->fenced_tokens.contains(token)) {
    this->violations.push_back("a call after the 409 to its token");
  }
  // The last call of this instance that another one's call followed.
  bool other_since = false;
  for (auto call = this->senders.rbegin(); call != this->senders.rend();
       ++call) {
    if (this->time - call->second > kAlternationTime) {
      break;
    }
    if (call->first != instance) {
      other_since = true;
    } else if (other_since) {
      this->violations.push_back("A, B, A within a lease: " + instance);
      break;
    }
  }
  this->senders.emplace_back(instance, this->time);
}

DutyCallResult DutyPlatform::Usage(const std::string& instance,
                                   std::uint64_t token,
                                   const UsageReport& report) {
  if (this->is_api_throttled) {
    return DutyCallResult::kThrottled;
  }
  if (token < this->highest_token) {
    ++this->rejected_usage;
    return DutyCallResult::kRejected;
  }
  this->highest_token = token;
  if (this->requires_records &&
      !this->written_keys.contains("duties/usage/" +
                                   std::to_string(report.window))) {
    this->violations.push_back("a report without a record");
  }
  const auto [first, is_new] =
      this->reports_by_window.emplace(report.window, report);
  if (!is_new && !(first->second == report)) {
    this->violations.push_back("two different reports for window " +
                               std::to_string(report.window));
  }
  if (is_new) {
    this->accepted.push_back({instance, token, report, this->time});
  }
  return DutyCallResult::kAccepted;
}

void FakeCaller::Start(bool is_cut, double lost,
                       std::function<std::function<void()>()> execute,
                       std::function<void()> fail) {
  this->busy = true;
  const std::uint64_t call = ++this->number;
  this->deadline = this->platform.now() + this->timeout;
  this->on_timeout = std::move(fail);
  if (is_cut) {
    return;
  }
  const Duration latency = this->platform.Random(kMinLatency, kMaxLatency);
  if (this->platform.Chance(lost)) {
    this->platform.At(this->platform.now() +
                          this->platform.Random(kMinLateness, kMaxLateness),
                      [execute = std::move(execute)] { execute(); });
    return;
  }
  this->platform.At(
      this->platform.now() + latency,
      [this, call, latency, alive = this->alive, execute = std::move(execute)] {
        // The platform executes the call also if its sender is gone.
        auto action = execute();
        if (*alive) {
          this->platform.At(this->platform.now() + latency,
                            [this, call, alive, action = std::move(action)] {
                              if (*alive) {
                                this->Deliver(call, action);
                              }
                            });
        }
      });
}

void FakeCaller::Deliver(std::uint64_t call,
                         const std::function<void()>& action) {
  if (!this->busy || call != this->number) {
    return;
  }
  if (this->faults.is_frozen) {
    this->platform.At(this->platform.now() + kPollInterval,
                      [this, call, alive = this->alive, action] {
                        if (*alive) {
                          this->Deliver(call, action);
                        }
                      });
    return;
  }
  this->busy = false;
  action();
}

void FakeCaller::Cancel() {
  this->busy = false;
  ++this->number;
}

void FakeCaller::Tick(TimePoint now) {
  if (this->busy && now >= this->deadline) {
    this->busy = false;
    std::exchange(this->on_timeout, nullptr)();
  }
}

template <typename Result>
void FakeLeaseStore::Start(
    const std::string& method,
    std::function<tl::expected<Result, LeaseStoreError>()> execute,
    Done<Result> done) {
  ++this->platform.calls[method];
  this->caller.Start(
      this->faults.is_store_cut, this->faults.lost_store_calls,
      [this, platform = &this->platform, execute = std::move(execute),
       refuses = this->faults.is_turned_away, done]() -> std::function<void()> {
        if (refuses || platform->is_store_down) {
          return [done] {
            done(tl::unexpected(Failure(LeaseStoreErrorKind::kNotExecuted)));
          };
        }
        const auto result = execute();
        return [this, done, result, era = platform->era] {
          this->known_era = std::max(this->known_era, era);
          done(result);
        };
      },
      [done] { done(tl::unexpected(Failure(LeaseStoreErrorKind::kUnknown))); });
}

void FakeLeaseStore::GrantLease(Duration ttl, Done<StoreLease> done) {
  this->Start<StoreLease>(
      "grant",
      [platform = &this->platform, ttl] { return platform->GrantLease(ttl); },
      std::move(done));
}

void FakeLeaseStore::RenewLease(std::uint64_t lease, Done<Duration> done) {
  this->Start<Duration>(
      "renew",
      [platform = &this->platform, lease] {
        return platform->RenewLease(lease);
      },
      std::move(done));
}

void FakeLeaseStore::EndLease(std::uint64_t lease, Done<bool> done) {
  this->Start<bool>(
      "end",
      [platform = &this->platform, lease] { return platform->EndLease(lease); },
      std::move(done));
}

void FakeLeaseStore::Read(const std::string& key, Done<StoreItem> done) {
  this->Start<StoreItem>(
      "read",
      [platform = &this->platform,
       key]() -> tl::expected<StoreItem, LeaseStoreError> {
        return platform->Read(key);
      },
      std::move(done));
}

void FakeLeaseStore::Commit(const StoreTransaction& transaction,
                            Done<std::uint64_t> done) {
  this->Start<std::uint64_t>(
      "commit",
      [platform = &this->platform, transaction] {
        return platform->Commit(transaction);
      },
      std::move(done));
}

void FakeDutyCalls::SendUsage(const DutyGrant& grant, const UsageReport& report,
                              Done done) {
  this->platform.NoteSent(this->instance, grant.token);
  this->caller.Start(
      this->faults.is_api_cut || this->platform.is_api_down,
      this->faults.lost_api_calls,
      [platform = &this->platform, instance = this->instance,
       token = grant.token, report, done]() -> std::function<void()> {
        const DutyCallResult result = platform->Usage(instance, token, report);
        return [platform, token, result, done] {
          if (result == DutyCallResult::kRejected) {
            platform->fenced_tokens.insert(token);
          }
          done(result);
        };
      },
      [done] { done(DutyCallResult::kUnknown); });
}

void FakeDutyCalls::SendOrder(const DutyGrant& grant,
                              const EngineOrder& /*order*/, Done done) {
  this->platform.NoteSent(this->instance, grant.token);
  this->caller.Start(
      this->faults.is_api_cut, this->faults.lost_api_calls,
      [done]() -> std::function<void()> {
        return [done] { done(DutyCallResult::kAccepted); };
      },
      [done] { done(DutyCallResult::kUnknown); });
}

}  // namespace rosemarycove
