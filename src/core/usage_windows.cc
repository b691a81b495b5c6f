#include "core/usage_windows.h"

#include <algorithm>

namespace rosemarycove {
namespace {

// What a new holder takes, besides the lease, until its report is accepted: its
// read, lease, claim and record, the report itself, and a retry of one of them.
constexpr Duration kTakeoverTime = std::chrono::milliseconds(1500);
// An instance that is silent for this long is taken for one that has ended.
// Until then windows wait for it, and its counts are read from the store.
constexpr Duration kPeerExpiry = std::chrono::seconds(120);
// The clocks of two instances differ by less, as the wall clocks of most are
// right.
constexpr Duration kClockDifference = std::chrono::seconds(2);
// Age from which a window is reported no more, and from which its record is
// removed: another holder must not close it anew when the record is gone.
constexpr Duration kMaxReportAge = std::chrono::seconds(45);
constexpr Duration kRecordLifetime = std::chrono::seconds(60);

}  // namespace

Duration UsageWindows::LatestClosing(std::int64_t window) const {
  return this->EndOf(window) +
         std::max(Duration{},
                  this->options.due - this->options.lease - kTakeoverTime);
}

void UsageWindows::OnPeer(const std::string& instance, std::uint64_t process,
                          TimePoint now) {
  Peer& peer = this->peers[instance];
  if (peer.process != process) {
    peer = {.process = process};
  }
  peer.reported_at = now;
}

void UsageWindows::OnCounts(const std::string& instance, Duration complete_to) {
  const auto found = this->peers.find(instance);
  if (found != this->peers.end()) {
    found->second.complete_to =
        std::max(found->second.complete_to, complete_to);
  }
}

void UsageWindows::Tick(TimePoint now) {
  std::erase_if(this->peers, [now](const auto& item) {
    return now - item.second.reported_at > kPeerExpiry;
  });
}

void UsageWindows::NoteReportedThrough(std::int64_t window, Duration wall) {
  // A window that has not ended can't be reported; such a number comes from an
  // instance whose clock is wrong.
  if (this->EndOf(window) > wall + kClockDifference) {
    return;
  }
  this->done_through = std::max(this->done_through.value_or(window), window);
}

bool UsageWindows::MayClose(std::int64_t window, Duration wall) const {
  const Duration end = this->EndOf(window);
  return wall >= end && (wall >= this->LatestClosing(window) ||
                         std::all_of(this->peers.begin(), this->peers.end(),
                                     [end](const auto& item) {
                                       return item.second.complete_to >= end;
                                     }));
}

std::vector<std::string> UsageWindows::Lacking(std::int64_t window) const {
  std::vector<std::string> lacking;
  for (const auto& [instance, peer] : this->peers) {
    if (peer.complete_to < this->EndOf(window)) {
      lacking.push_back(instance);
    }
  }
  return lacking;
}

bool UsageWindows::MayHaveLostRecord(std::int64_t window) const {
  return this->restored_at &&
         this->EndOf(window) <= *this->restored_at + kClockDifference;
}

std::int64_t UsageWindows::FirstUnreported(Duration wall) const {
  const std::int64_t oldest =
      this->WindowAt(wall - kMaxReportAge - this->options.window) + 1;
  if (this->done_through) {
    return std::max(*this->done_through + 1, oldest);
  }
  // The first window that is not overdue.
  return this->WindowAt(wall - this->options.due - this->options.window) + 1;
}

bool UsageWindows::IsTooOld(std::int64_t window, Duration wall) const {
  return wall - this->EndOf(window) > kMaxReportAge;
}

std::int64_t UsageWindows::ObsoleteThrough(Duration wall) const {
  return this->WindowAt(wall - kRecordLifetime - this->options.window);
}

}  // namespace rosemarycove
