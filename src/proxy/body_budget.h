// Limits the memory that callers and servers make one process hold.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace rosemarycove {

class BodyBudget;

// Whether the body of a request may be read further.
enum class ReadDecision : std::uint8_t {
  kRead,
  kWait,    // Not now; the holder is told once it may go on.
  kRefuse,  // Too many requests wait already.
};

// Why the budget ends a request.
enum class BudgetCause : std::uint8_t {
  kNoProgress,      // It moved hardly any bytes while others waited.
  kWaitedTooLong,   // No room came in time.
  kTooManyWaiting,  // Too many others waited already.
  kExhausted,       // There was no memory left, even for a head.
};
std::string_view ToString(BudgetCause cause);

// Holds the bytes of one account, and is told what the budget decides.
class BudgetHolder {
 public:
  virtual ~BudgetHolder() = default;
  // Returns whether bytes could move now: the rest of a request that is read,
  // or bytes that the caller or the server has not taken yet.
  [[nodiscard]] virtual bool ExpectsProgress() const = 0;
  // The wait has ended: the body may be read further.
  virtual void OnRoomAvailable() = 0;
  // Has to end its request and to release what it holds.
  virtual void OnStopped(BudgetCause cause) = 0;
};

// What one caller's connection holds: what was read and not forwarded, heads as
// they were parsed, what is kept for another attempt, and what the caller or
// the server has not taken.
class BudgetAccount {
 public:
  BudgetAccount(BodyBudget& budget, BudgetHolder& holder, TimePoint now);
  ~BudgetAccount();
  BudgetAccount(const BudgetAccount&) = delete;
  BudgetAccount& operator=(const BudgetAccount&) = delete;

  // Asks whether a head may be read further. False refuses the request.
  [[nodiscard]] bool MayReadHead();
  // Begins to read the body of a request of this customer (empty: none).
  // `whole_bytes`: upper limit of what is held once all is read.
  void BeginBody(const std::string& customer_name, std::size_t whole_bytes,
                 TimePoint now);
  // Asks whether to read further. After kWait, the account waits.
  ReadDecision MayRead(TimePoint now);
  // Asks whether a request of this customer that was read as a whole may be
  // handled, with all that is held of it.
  [[nodiscard]] bool MayStart(const std::string& customer_name);
  // The body is complete, or will not be read any more.
  void EndBody();
  void SetHeld(std::size_t bytes);
  // Records that this many bytes moved.
  void RecordProgress(std::size_t bytes) { this->moved += bytes; }

  [[nodiscard]] bool is_waiting() const {
    return this->waiting_since.has_value();
  }
  [[nodiscard]] std::size_t held_bytes() const { return this->held; }

 private:
  friend class BodyBudget;

  // What counts: the bytes held, or those reserved if there are more.
  [[nodiscard]] std::size_t Committed() const;

  BodyBudget& budget;
  BudgetHolder& holder;
  std::list<BudgetAccount*>::iterator place;
  std::string customer;
  std::size_t held = 0;
  // Upper limit of what is held once the body is read; 0 while none is read.
  std::size_t whole = 0;
  // Room for the whole body is reserved, so that it can be read to its end.
  bool is_reserved = false;
  std::optional<TimePoint> waiting_since;
  // Bytes that moved since this time.
  std::size_t moved = 0;
  TimePoint moved_since;
  // Hardly any bytes moved in the last interval.
  bool is_stalled = false;
};

// A budget in bytes for a whole process. Below 3/8 of it, all requests are
// read. Above, a request is read only if there is room for the whole of it,
// which is then reserved, so that what is read partly can always be completed;
// the others wait unread, and TCP slows their callers down. Small requests may
// use a part that larger ones can't, and each customer only a part. While
// requests or connections wait, or no memory is left, requests without progress
// are ended. Used on the event loop's thread only.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t bytes) : bytes(bytes) {}

  // Lets waiting requests go on where there is room, and ends those that make
  // no progress or waited too long; called periodically. `connections_wait`:
  // new connections wait for others to end.
  void Tick(TimePoint now, bool connections_wait = false);
  // Returns whether little enough is held that nobody has to save memory.
  [[nodiscard]] bool is_calm() const;
  // Returns whether there is no room even for small requests.
  [[nodiscard]] bool is_exhausted() const;
  [[nodiscard]] std::size_t held_bytes() const { return this->held; }
  [[nodiscard]] std::size_t waiting_count() const { return this->waiting; }
  // How many requests were ended, by cause.
  [[nodiscard]] std::size_t stopped_count(BudgetCause cause) const;

 private:
  friend class BudgetAccount;

  // The budget for a request of this size; at least a few of it fit.
  [[nodiscard]] std::size_t LimitFor(std::size_t whole) const;
  // Returns whether the account may read, and reserves room for it if needed.
  bool Admit(BudgetAccount& account);
  // Returns whether the account's customer leaves a part of the budget to
  // others.
  [[nodiscard]] bool LeavesRoom(const BudgetAccount& account,
                                std::size_t limit) const;
  // Returns whether the customer has room for the whole request.
  [[nodiscard]] bool CustomerFits(const BudgetAccount& account,
                                  std::size_t large_limit) const;
  // Applies a change to an account and keeps the sums.
  template <typename Change>
  void Update(BudgetAccount& account, const Change& change);
  [[nodiscard]] std::size_t CommittedOf(const std::string& customer) const;
  [[nodiscard]] bool is_anyone_waiting() const { return this->waiting != 0; }
  void AdmitWaiting();
  void RecordStalls(TimePoint now);
  // Ends the request that holds most without progress. Returns false if there
  // is none.
  bool StopStalled();
  void StopOverdue(TimePoint now);
  void Stop(BudgetAccount& account, BudgetCause cause);

  std::size_t bytes;
  // The largest BudgetAccount::whole so far.
  std::size_t largest_whole = 0;
  std::list<BudgetAccount*> accounts;
  // By customer; only those above zero.
  std::map<std::string, std::size_t> committed_by_customer;
  std::size_t held = 0;
  std::size_t committed = 0;
  std::size_t waiting = 0;
  std::map<BudgetCause, std::size_t> stopped;
};

}  // namespace rosemarycove
