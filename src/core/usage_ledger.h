// Counts the requests that begin to run at servers, by window and customer,
// over all instances.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// The requests of one customer that began in one window at one instance: a
// total, not a difference.
struct UsageCount {
  // IdHash of the customer's name.
  std::uint64_t customer_hash = 0;
  std::int64_t window = 0;
  std::uint32_t requests = 0;

  bool operator==(const UsageCount&) const = default;
};

// What an instance tells the holder and the candidates about its own counts.
struct UsageUpdate {
  // The wall time up to which the sender's counts are complete.
  Duration complete_to{};
  // Names of customers that the receiver may not know yet.
  std::vector<std::string> customers;
  // The counts that have changed since the last report to the receiver.
  std::vector<UsageCount> counts;
};

// What a report says about the duties; see FleetReport::duties.
struct DutyState {
  // A random number that tells the sender's process from its predecessor.
  std::uint64_t process = 0;
  // What the sender's wall clock says: the time since the start of 1970.
  Duration wall_time{};
  // The fencing token if the sender is the holder, else 0, and the time since
  // it renewed its lease.
  std::uint64_t token = 0;
  Duration lease_age{};
  // The window up to which all usage is reported, as far as the sender knows;
  // nullopt if it knows of none.
  std::optional<std::int64_t> reported_through;
  // Only in reports to the holder and the candidates.
  std::optional<UsageUpdate> usage;
};

// Counts are kept by the process that counted them, and merged by the maximum,
// so that repeats change nothing. Used on the event loop.
class UsageLedger {
 public:
  UsageLedger(std::string instance, std::uint64_t process);

  // Counts a request of this instance.
  void Count(const std::string& customer, std::int64_t window);
  // Returns the own counts that changed after `told`, which it advances.
  [[nodiscard]] UsageUpdate ChangesSince(std::uint64_t& told,
                                         Duration complete_to) const;
  // Returns the own counts of one window.
  [[nodiscard]] UsageUpdate OwnCounts(std::int64_t window) const;
  // Merges the counts of another process.
  void Merge(const std::string& instance, std::uint64_t process,
             const UsageUpdate& update);
  // Drops the counts of all windows up to this one, and takes no more of them.
  void DropThrough(std::int64_t window);
  // Returns the requests of a window by customer, over all instances. Counts of
  // customers whose names are not known are left out and added to
  // `unnamed_requests`.
  [[nodiscard]] std::map<std::string, std::uint64_t> Totals(
      std::int64_t window, std::uint64_t& unnamed_requests) const;
  // The number of own requests, which ChangesSince counts by.
  [[nodiscard]] std::uint64_t last_change() const { return this->changes; }

 private:
  // A process of an instance.
  using Source = std::pair<std::string, std::uint64_t>;
  struct Total {
    std::uint32_t requests = 0;
    // The number of the last change, for the own counts.
    std::uint64_t change = 0;
  };
  struct Customer {
    std::string name;
    // The number of the change with which this instance first counted it.
    std::uint64_t change = 0;
  };

  Source self;
  std::uint64_t changes = 0;
  std::optional<std::int64_t> dropped_through;
  // By hash of the name.
  std::map<std::uint64_t, Customer> customers;
  // By window, source and hash of the customer.
  std::map<std::int64_t, std::map<Source, std::map<std::uint64_t, Total>>>
      windows;
};

}  // namespace rosemarycove
