// Decides which window of usage is reported when.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

struct UsageWindowsOptions {
  Duration window = std::chrono::seconds(5);
  // Time after the end of a window within which it is to be reported.
  Duration due = std::chrono::seconds(10);
  // The lease of the duties.
  Duration lease = std::chrono::seconds(3);
};

// Window k begins k times the window's length after the start of 1970. All wall
// times are the fleet's (FleetClock), as the time since then.
class UsageWindows {
 public:
  explicit UsageWindows(UsageWindowsOptions options) : options(options) {}

  [[nodiscard]] std::int64_t WindowAt(Duration wall) const {
    return wall / this->options.window;
  }
  [[nodiscard]] Duration EndOf(std::int64_t window) const {
    return (window + 1) * this->options.window;
  }
  [[nodiscard]] Duration DueOf(std::int64_t window) const {
    return this->EndOf(window) + this->options.due;
  }
  // The wall time at which a window is closed although counts are missing: a
  // new holder can still report it in time.
  [[nodiscard]] Duration LatestClosing(std::int64_t window) const;

  // A process of another instance reports; it counts usage.
  void OnPeer(const std::string& instance, std::uint64_t process,
              TimePoint now);
  // Its counts up to this wall time are known.
  void OnCounts(const std::string& instance, Duration complete_to);
  // Its process has ended: what it told is all that will be known.
  void OnPeerGone(const std::string& instance) { this->peers.erase(instance); }
  // Drops the instances that have not reported for long.
  void Tick(TimePoint now);
  // All usage up to this window is reported, or counts as missed.
  void NoteReportedThrough(std::int64_t window, Duration wall);
  // The store has come back from a copy, as this instance sees now.
  void NoteStoreRestored(Duration wall) { this->restored_at = wall; }

  // Returns whether the window can be closed now.
  [[nodiscard]] bool MayClose(std::int64_t window, Duration wall) const;
  // Returns the instances whose counts of the window are not complete.
  [[nodiscard]] std::vector<std::string> Lacking(std::int64_t window) const;
  // Returns whether the window may have been reported from a record that the
  // store has lost, so that it must not be closed anew.
  [[nodiscard]] bool MayHaveLostRecord(std::int64_t window) const;
  // Returns the first window that a new holder reports.
  [[nodiscard]] std::int64_t FirstUnreported(Duration wall) const;
  // Returns whether the window is too old to be reported.
  [[nodiscard]] bool IsTooOld(std::int64_t window, Duration wall) const;
  // Returns the window whose record, and those of the windows before, are
  // removed.
  [[nodiscard]] std::int64_t ObsoleteThrough(Duration wall) const;
  [[nodiscard]] std::optional<std::int64_t> reported_through() const {
    return this->done_through;
  }

 private:
  struct Peer {
    std::uint64_t process = 0;
    Duration complete_to{};
    TimePoint reported_at;
  };

  UsageWindowsOptions options;
  std::map<std::string, Peer> peers;
  std::optional<std::int64_t> done_through;
  std::optional<Duration> restored_at;
};

}  // namespace rosemarycove
