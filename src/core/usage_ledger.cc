#include "core/usage_ledger.h"

#include <algorithm>
#include <utility>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// Windows that another instance may name, and customers that are known, at
// most. More come only from a faulty peer.
constexpr std::size_t kMaxWindows = 64;
constexpr std::size_t kMaxCustomers = 10000;

}  // namespace

UsageLedger::UsageLedger(std::string instance, std::uint64_t process)
    : self(std::move(instance), process) {}

void UsageLedger::Count(const std::string& customer, std::int64_t window) {
  const std::uint64_t hash = IdHash(customer);
  Customer& known = this->customers[hash];
  known.name = customer;
  ++this->changes;
  if (known.change == 0) {
    known.change = this->changes;
  }
  Total& total = this->windows[window][this->self][hash];
  ++total.requests;
  total.change = this->changes;
}

UsageUpdate UsageLedger::ChangesSince(std::uint64_t& told,
                                      Duration complete_to) const {
  UsageUpdate update{.complete_to = complete_to};
  if (told >= this->changes) {
    return update;
  }
  for (const auto& [hash, customer] : this->customers) {
    if (customer.change > told) {
      update.customers.push_back(customer.name);
    }
  }
  for (const auto& [window, sources] : this->windows) {
    const auto own = sources.find(this->self);
    if (own == sources.end()) {
      continue;
    }
    for (const auto& [hash, total] : own->second) {
      if (total.change > told) {
        update.counts.push_back({hash, window, total.requests});
      }
    }
  }
  told = this->changes;
  return update;
}

UsageUpdate UsageLedger::OwnCounts(std::int64_t window) const {
  UsageUpdate update;
  const auto found = this->windows.find(window);
  if (found == this->windows.end()) {
    return update;
  }
  const auto own = found->second.find(this->self);
  if (own == found->second.end()) {
    return update;
  }
  for (const auto& [hash, total] : own->second) {
    update.customers.push_back(this->customers.at(hash).name);
    update.counts.push_back({hash, window, total.requests});
  }
  return update;
}

void UsageLedger::Merge(const std::string& instance, std::uint64_t process,
                        const UsageUpdate& update) {
  for (const std::string& name : update.customers) {
    if (this->customers.size() < kMaxCustomers) {
      this->customers[IdHash(name)].name = name;
    }
  }
  for (const UsageCount& count : update.counts) {
    const bool is_dropped =
        this->dropped_through && count.window <= *this->dropped_through;
    const bool is_excess = this->windows.size() >= kMaxWindows &&
                           !this->windows.contains(count.window);
    if (is_dropped || is_excess) {
      continue;
    }
    Total& total =
        this->windows[count.window][{instance, process}][count.customer_hash];
    total.requests = std::max(total.requests, count.requests);
  }
}

void UsageLedger::DropThrough(std::int64_t window) {
  if (this->dropped_through && window <= *this->dropped_through) {
    return;
  }
  this->dropped_through = window;
  this->windows.erase(this->windows.begin(), this->windows.upper_bound(window));
}

std::map<std::string, std::uint64_t> UsageLedger::Totals(
    std::int64_t window, std::uint64_t& unnamed_requests) const {
  std::map<std::string, std::uint64_t> totals;
  const auto found = this->windows.find(window);
  if (found == this->windows.end()) {
    return totals;
  }
  for (const auto& [source, counts] : found->second) {
    for (const auto& [hash, total] : counts) {
      const auto customer = this->customers.find(hash);
      if (customer == this->customers.end() || customer->second.name.empty()) {
        unnamed_requests += total.requests;
      } else {
        totals[customer->second.name] += total.requests;
      }
    }
  }
  return totals;
}

}  // namespace rosemarycove
