#include "app/usage_reporter.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/gateway_observer.h"
#include "core/load_ledger.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Pauses after a call that was refused or failed.
constexpr Duration kStorePause = std::chrono::milliseconds(200);
constexpr Duration kSendPause = std::chrono::milliseconds(300);
// After this many deadlines in a row another instance may try.
constexpr int kMaxMissedDeadlines = 2;
// Own counts go to the store when the holder has been silent for a lease and
// this time, since all instances would write when the holder changes otherwise,
// and this long before the latest closing.
constexpr Duration kTakeoverTime = std::chrono::milliseconds(1500);
constexpr Duration kSaveLead = std::chrono::milliseconds(1200);
// The holder reads the counts of silent instances for this long at most.
constexpr Duration kMaxCollection = std::chrono::milliseconds(700);
// Old records that one transaction removes at most, and those before the first
// of a term that may remain from a time without a holder.
constexpr std::int64_t kMaxRemovals = 20;
constexpr std::int64_t kLeftoverRecords = 12;
constexpr std::size_t kMaxOtherRemovals = 8;
constexpr std::int64_t kMaxExactNumber = std::int64_t{1} << 53;

std::string RecordKey(std::int64_t window) {
  return fmt::format("duties/usage/{}", window);
}

std::string CountsKey(std::int64_t window, const std::string& instance) {
  return fmt::format("duties/counts/{}/{}", window, instance);
}

std::string ToText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json EncodeCounts(const std::map<std::string, std::uint64_t>& counts) {
  json list = json::array();
  for (const auto& [customer, requests] : counts) {
    list.push_back({{"customer", customer}, {"requests", requests}});
  }
  return list;
}

std::map<std::string, std::uint64_t> DecodeCounts(const JsonFields& fields) {
  std::map<std::string, std::uint64_t> counts;
  for (const JsonFields& item : fields.Objects("counts")) {
    counts[item.String("customer")] = static_cast<std::uint64_t>(
        item.Integer("requests", 0, kMaxExactNumber));
  }
  return counts;
}

std::uint64_t SumOf(const UsageReport& report) {
  std::uint64_t sum = 0;
  for (const auto& [customer, requests] : report.requests_by_customer) {
    sum += requests;
  }
  return sum;
}

}  // namespace

UsageReporter::UsageReporter(UsageReporterOptions reporter_options,
                             UsageReporterParts reporter_parts)
    : options(std::move(reporter_options)),
      parts(std::move(reporter_parts)),
      clock(this->parts.read_wall_clock(), this->parts.read_clock()),
      ledger(this->options.instance, this->options.process),
      windows(this->options.windows) {}

void UsageReporter::Count(const std::string& customer) {
  if (!customer.empty()) {
    this->ledger.Count(
        customer,
        this->windows.WindowAt(this->clock.WallTime(this->parts.read_clock())));
  }
}

DutyState UsageReporter::MakeState() {
  return {.process = this->options.process,
          .wall_time = this->parts.read_wall_clock(),
          .reported_through = this->windows.reported_through()};
}

UsageUpdate UsageReporter::MakeUpdate(const std::string& address) {
  return this->ledger.ChangesSince(
      this->told[address], this->clock.WallTime(this->parts.read_clock()));
}

void UsageReporter::OnPeerState(const std::string& instance,
                                const DutyState& state, TimePoint now) {
  this->clock.SetPeer(instance, state.wall_time, now);
  this->windows.OnPeer(instance, state.process, now);
  if (state.reported_through) {
    this->windows.NoteReportedThrough(*state.reported_through,
                                      this->clock.WallTime(now));
  }
  if (state.usage) {
    this->ledger.Merge(instance, state.process, *state.usage);
    this->windows.OnCounts(instance, state.usage->complete_to);
  }
}

void UsageReporter::OnPeerGone(const std::string& instance,
                               const std::string& address) {
  this->windows.OnPeerGone(instance);
  this->told.erase(address);
}

void UsageReporter::OnStoreRestored() {
  this->windows.NoteStoreRestored(
      this->clock.WallTime(this->parts.read_clock()));
}

bool UsageReporter::is_idle() const {
  return !this->is_storing && !this->is_sending && !this->is_outcome_unknown;
}

bool UsageReporter::HasToldCounts() const {
  return this->told.empty() ||
         std::any_of(this->told.begin(), this->told.end(),
                     [this](const auto& item) {
                       return item.second >= this->ledger.last_change();
                     });
}

void UsageReporter::Tick(DutyTenure& tenure, TimePoint now) {
  this->clock.SetOwn(this->parts.read_wall_clock(), now);
  this->clock.Tick(now);
  this->windows.Tick(now);
  const Duration wall = this->clock.WallTime(now);
  this->ledger.DropThrough(
      std::max(this->windows.reported_through().value_or(0),
               this->windows.ObsoleteThrough(wall)));
  const std::optional<DutyGrant> grant = tenure.Grant(now);
  if (!grant) {
    this->SaveOwnCounts(now, wall);
    return;
  }
  if (grant->token != this->term) {
    this->StartTerm(*grant, wall);
  }
  while (this->pending.empty() ||
         wall >= this->windows.EndOf(this->pending.back().window)) {
    this->pending.push_back({.window = this->pending.empty()
                                           ? this->windows.FirstUnreported(wall)
                                           : this->pending.back().window + 1});
  }
  this->Record(tenure, *grant, now, wall);
  this->Send(tenure, *grant, now);
  this->CheckOverdue(now, wall);
  this->Advance(wall);
}

void UsageReporter::StartTerm(const DutyGrant& grant, Duration wall) {
  this->term = grant.token;
  this->pending.clear();
  this->is_outcome_unknown = false;
  this->missed_deadlines = 0;
  this->next_store_call_at = {};
  this->next_send_at = {};
  this->removed_through =
      this->windows.ObsoleteThrough(wall) - kLeftoverRecords;
}

UsageReporter::Pending* UsageReporter::Find(std::int64_t window) {
  const auto found = std::find_if(
      this->pending.begin(), this->pending.end(),
      [window](const Pending& item) { return item.window == window; });
  return found == this->pending.end() ? nullptr : &*found;
}

void UsageReporter::Record(DutyTenure& tenure, const DutyGrant& grant,
                           TimePoint now, Duration wall) {
  if (this->parts.store.is_busy() || now < this->next_store_call_at) {
    return;
  }
  for (Pending& item : this->pending) {
    if (item.step == Step::kOpen && this->windows.MayClose(item.window, wall)) {
      item.step = Step::kCollecting;
      item.lacking = this->windows.Lacking(item.window);
      item.unread = item.lacking;
      item.reads_record = this->windows.MayHaveLostRecord(item.window);
    }
    if (item.step == Step::kCollecting) {
      const bool has_time =
          wall < this->windows.LatestClosing(item.window) + kMaxCollection;
      if (has_time && !item.unread.empty()) {
        this->ReadCounts(item);
        return;
      }
      this->Close(item);
    }
    if (item.step == Step::kRecording) {
      if (this->windows.IsTooOld(item.window, wall)) {
        this->Miss(item, "too_old");
      } else if (item.reads_record) {
        this->ReadRecord(item.window);
        return;
      } else {
        this->WriteRecord(tenure, grant, item, wall);
        return;
      }
    }
  }
}

void UsageReporter::ReadCounts(Pending& item) {
  const std::string instance = item.unread.back();
  item.unread.pop_back();
  this->is_storing = true;
  this->parts.store.Read(
      CountsKey(item.window, instance),
      [this, window = item.window, instance, token = this->term](
          const tl::expected<StoreItem, LeaseStoreError>& read) {
        this->is_storing = false;
        if (!read) {
          this->OnStoreFailed(read.error());
          return;
        }
        Pending* const found = this->Find(window);
        if (token != this->term || found == nullptr || read->revision == 0) {
          return;
        }
        found->obsolete_keys.push_back(read->key);
        const auto merged = JsonDecoder().DecodeObject(
            read->value, [&](const JsonFields& fields) {
              UsageUpdate update;
              for (const auto& [customer, requests] : DecodeCounts(fields)) {
                update.customers.push_back(customer);
                update.counts.push_back(
                    {.customer_hash = IdHash(customer),
                     .window = window,
                     .requests = static_cast<std::uint32_t>(requests)});
              }
              this->ledger.Merge(instance,
                                 static_cast<std::uint64_t>(fields.Integer(
                                     "process", 0, kMaxExactNumber)),
                                 update);
              return true;
            });
        if (merged) {
          std::erase(found->lacking, instance);
        } else {
          this->OnStoreFailed({.message = "counts: " + merged.error()});
        }
      });
}

void UsageReporter::Close(Pending& item) {
  std::uint64_t unnamed = 0;
  item.report = {
      .window = item.window,
      .requests_by_customer = this->ledger.Totals(item.window, unnamed)};
  item.step = Step::kRecording;
  if (!item.lacking.empty() || unnamed > 0) {
    ++this->incomplete;
    this->parts.log.Write(LogEvent::kUsageIncomplete,
                          {{"window", item.window},
                           {"lacking", item.lacking},
                           {"unnamed", unnamed}});
  }
}

void UsageReporter::ReadRecord(std::int64_t window) {
  this->is_storing = true;
  this->parts.store.Read(
      RecordKey(window),
      [this, window, token = this->term](
          const tl::expected<StoreItem, LeaseStoreError>& read) {
        this->is_storing = false;
        if (!read) {
          this->OnStoreFailed(read.error());
        } else if (token == this->term) {
          this->store_failure_logged = false;
          this->OnRecordRead(window, *read);
        }
      });
}

void UsageReporter::OnRecordRead(std::int64_t window, const StoreItem& item) {
  Pending* const found = this->Find(window);
  if (found == nullptr || found->step != Step::kRecording) {
    return;
  }
  if (item.revision == 0) {
    if (this->windows.MayHaveLostRecord(window)) {
      this->Miss(*found, "store_restored");
    } else {
      found->reads_record = false;
    }
    return;
  }
  const auto counts = JsonDecoder().DecodeObject(
      item.value,
      [](const JsonFields& fields) { return DecodeCounts(fields); });
  if (!counts) {
    // Nobody can tell what was reported.
    this->OnStoreFailed({.message = "record: " + counts.error()});
    this->Miss(*found, "unreadable_record");
    return;
  }
  found->report.requests_by_customer = *counts;
  found->step = Step::kRecorded;
}

void UsageReporter::WriteRecord(DutyTenure& tenure, const DutyGrant& grant,
                                const Pending& item, Duration wall) {
  StoreTransaction transaction{
      .conditions = {{.key = grant.claim_key, .revision = grant.claim_revision},
                     {.key = RecordKey(item.window)}},
      .writes = {
          {.key = RecordKey(item.window),
           .value = ToText(
               {{"window", item.window},
                {"counts", EncodeCounts(item.report.requests_by_customer)}})}}};
  transaction.removals = item.obsolete_keys;
  const std::int64_t remove_through =
      std::min(this->windows.ObsoleteThrough(wall),
               this->removed_through + kMaxRemovals);
  transaction.removals.resize(
      std::min(transaction.removals.size(), kMaxOtherRemovals));
  for (std::int64_t old = this->removed_through + 1; old <= remove_through;
       ++old) {
    transaction.removals.push_back(RecordKey(old));
  }
  this->is_storing = true;
  this->parts.store.Commit(
      transaction,
      [this, &tenure, grant, remove_through, window = item.window](
          const tl::expected<std::uint64_t, LeaseStoreError>& result) {
        this->is_storing = false;
        Pending* const found = this->Find(window);
        if (grant.token != this->term || found == nullptr ||
            found->step != Step::kRecording) {
          return;
        }
        if (result) {
          this->store_failure_logged = false;
          this->removed_through = remove_through;
          found->step = Step::kRecorded;
          return;
        }
        const LeaseStoreError& error = result.error();
        if (error.kind != LeaseStoreErrorKind::kConflict) {
          found->reads_record = error.kind == LeaseStoreErrorKind::kUnknown;
          this->OnStoreFailed(error);
          return;
        }
        for (const StoreItem& stored : error.items) {
          if (stored.key == RecordKey(window) && stored.revision != 0) {
            this->OnRecordRead(window, stored);
            return;
          }
          if (stored.key == grant.claim_key &&
              stored.revision != grant.claim_revision) {
            // Another instance has claimed meanwhile, or may at any time.
            tenure.OnFenced(grant.token, this->parts.read_clock());
            return;
          }
        }
        found->reads_record = true;
        this->OnStoreFailed(error);
      });
}

void UsageReporter::OnStoreFailed(const LeaseStoreError& error) {
  this->next_store_call_at = this->parts.read_clock() + kStorePause;
  if (!std::exchange(this->store_failure_logged, true)) {
    this->parts.log.Write(LogEvent::kDutyCallFailed,
                          {{"call", "record"}, {"why", error.message}});
  }
}

void UsageReporter::Send(DutyTenure& tenure, const DutyGrant& grant,
                         TimePoint now) {
  if (this->is_sending || this->parts.calls.is_busy() ||
      now < this->next_send_at) {
    return;
  }
  const auto found = std::find_if(
      this->pending.begin(), this->pending.end(),
      [](const Pending& item) { return item.step == Step::kRecorded; });
  if (found == this->pending.end()) {
    return;
  }
  this->is_sending = true;
  this->parts.calls.SendUsage(grant, found->report,
                              [this, &tenure, token = grant.token,
                               window = found->window](DutyCallResult result) {
                                this->is_sending = false;
                                this->OnSent(tenure, token, window, result);
                              });
}

void UsageReporter::OnSent(DutyTenure& tenure, std::uint64_t token,
                           std::int64_t window, DutyCallResult result) {
  const TimePoint now = this->parts.read_clock();
  this->is_outcome_unknown = result == DutyCallResult::kUnknown;
  if (result == DutyCallResult::kRejected) {
    tenure.OnFenced(token, now);
    return;
  }
  const bool has_failed =
      result == DutyCallResult::kUnknown || result == DutyCallResult::kNotSent;
  if (has_failed && !this->api_failure_logged) {
    this->parts.log.Write(
        LogEvent::kDutyCallFailed,
        {{"call", "usage"},
         {"why", result == DutyCallResult::kUnknown ? "no usable response"
                                                    : "not sent"}});
  }
  this->api_failure_logged = has_failed;
  if (result != DutyCallResult::kAccepted) {
    this->next_send_at = now + kSendPause;
    return;
  }
  this->missed_deadlines = 0;
  Pending* const found = this->Find(window);
  if (token != this->term || found == nullptr) {
    return;
  }
  found->step = Step::kDone;
  ++this->reported;
  const Duration wall = this->clock.WallTime(now);
  this->parts.log.Write(
      LogEvent::kUsageReported,
      {{"window", window},
       {"requests", SumOf(found->report)},
       {"customers", found->report.requests_by_customer.size()},
       {"after_ms", ToLogMilliseconds(wall - this->windows.EndOf(window))},
       {"token", token}});
}

void UsageReporter::Miss(Pending& item, const std::string& reason) {
  item.step = Step::kDone;
  ++this->missed;
  this->parts.log.Write(LogEvent::kUsageMissed,
                        {{"window", item.window}, {"reason", reason}});
}

void UsageReporter::CheckOverdue(TimePoint now, Duration wall) {
  for (Pending& item : this->pending) {
    if (item.step == Step::kRecorded &&
        this->windows.IsTooOld(item.window, wall) && !this->is_sending) {
      this->Miss(item, "too_old");
    }
    const bool is_late = item.step != Step::kDone && !item.is_overdue &&
                         wall > this->windows.DueOf(item.window);
    if (is_late) {
      item.is_overdue = true;
      ++this->late;
      this->missed_deadlines += item.step == Step::kRecorded ? 1 : 0;
    }
  }
  if (this->api_failure_logged &&
      this->missed_deadlines >= kMaxMissedDeadlines) {
    this->missed_deadlines = 0;
    this->parts.hand_over(now);
  }
}

void UsageReporter::Advance(Duration wall) {
  while (!this->pending.empty() && this->pending.front().step == Step::kDone) {
    this->windows.NoteReportedThrough(this->pending.front().window, wall);
    this->pending.pop_front();
  }
}

void UsageReporter::SaveOwnCounts(TimePoint now, Duration wall) {
  const std::int64_t window =
      this->windows.WindowAt(
          wall + kSaveLead -
          (this->windows.LatestClosing(0) - this->windows.EndOf(0))) -
      1;
  const bool is_due =
      wall < this->windows.LatestClosing(window) &&
      now - this->holder_heard_at >
          this->options.windows.lease + kTakeoverTime &&
      this->saved_window.value_or(window - 1) < window &&
      this->windows.reported_through().value_or(window - 1) < window;
  if (!is_due || this->parts.store.is_busy()) {
    return;
  }
  const UsageUpdate own = this->ledger.OwnCounts(window);
  if (own.counts.empty()) {
    return;
  }
  std::map<std::string, std::uint64_t> counts;
  for (std::size_t i = 0; i < own.counts.size(); ++i) {
    counts[own.customers[i]] = own.counts[i].requests;
  }
  StoreTransaction transaction{
      .writes = {{.key = CountsKey(window, this->options.instance),
                  .value = ToText({{"process", this->options.process},
                                   {"counts", EncodeCounts(counts)}})}}};
  if (this->saved_window) {
    transaction.removals.push_back(
        CountsKey(*this->saved_window, this->options.instance));
  }
  this->saved_window = window;
  this->is_storing = true;
  this->parts.store.Commit(
      transaction,
      [this](const tl::expected<std::uint64_t, LeaseStoreError>& result) {
        this->is_storing = false;
        if (!result) {
          this->OnStoreFailed(result.error());
        }
      });
}

std::string UsageReporter::MetricsText() const {
  const auto format = [](const char* name, std::uint64_t value) {
    return fmt::format("# TYPE {0} counter\n{0} {1}\n", name, value);
  };
  return format("rosemarycove_usage_windows_reported_total", this->reported) +
         format("rosemarycove_usage_windows_missed_total", this->missed) +
         format("rosemarycove_usage_windows_incomplete_total",
                this->incomplete) +
         format("rosemarycove_usage_windows_late_total", this->late);
}

}  // namespace rosemarycove
