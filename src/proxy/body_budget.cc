#include "proxy/body_budget.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <vector>

namespace rosemarycove {
namespace {

// Requests that hold less than this are small: they may use the part of the
// budget that larger ones can't.
constexpr std::size_t kSmallBytes = std::size_t{64} << 10U;
// The budget is at least this many times the size of a request, so that one
// request within the limits always fits, whatever the others hold.
constexpr std::size_t kMinRequests = 4;
// Parts of the budget, in eighths: below the first one everything is read,
// larger requests may use the second one together, those of one customer the
// third one, and all requests of one customer the fourth one. What is read
// below the first one and one request more fit the two others, so that waiting
// requests can't keep each other from going on.
constexpr std::size_t kParts = 8;
constexpr std::size_t kCalmParts = 3;
constexpr std::size_t kLargeParts = 6;
constexpr std::size_t kCustomerParts = 5;
constexpr std::size_t kSmallCustomerParts = 7;
// Each waiting connection has up to 256 KiB of unread data in the kernel, so
// their number is limited, too.
constexpr std::size_t kMaxWaiting = 64;
// A request that moves fewer bytes than this in the interval while others wait
// counts as stalled. Callers on slow links move more.
constexpr std::size_t kMinProgressBytes = std::size_t{16} << 10U;
constexpr Duration kProgressInterval = std::chrono::seconds(1);
// A request that can't be read within this time is refused, so that its caller
// can try another instance.
constexpr Duration kMaxWait = std::chrono::seconds(5);
// Maximum number of stalled requests ended in one tick.
constexpr int kMaxStoppedPerTick = 8;
// Indexed by BudgetCause.
constexpr std::array<std::string_view, 4> kCauseNames = {
    "no_progress", "waited_too_long", "too_many_waiting", "exhausted"};

}  // namespace

std::string_view ToString(BudgetCause cause) {
  return kCauseNames.at(static_cast<std::size_t>(cause));
}

BudgetAccount::BudgetAccount(BodyBudget& budget, BudgetHolder& holder,
                             TimePoint now)
    : budget(budget), holder(holder), moved_since(now) {
  this->place = budget.accounts.insert(budget.accounts.end(), this);
}

BudgetAccount::~BudgetAccount() {
  this->EndBody();
  this->SetHeld(0);
  this->budget.accounts.erase(this->place);
}

std::size_t BudgetAccount::Committed() const {
  return this->is_reserved ? std::max(this->held, this->whole) : this->held;
}

bool BudgetAccount::MayReadHead() {
  if (!this->budget.is_exhausted()) {
    return true;
  }
  this->budget.Stop(*this, BudgetCause::kExhausted);
  return false;
}

void BudgetAccount::BeginBody(const std::string& customer_name,
                              std::size_t whole_bytes, TimePoint now) {
  this->EndBody();
  this->budget.largest_whole =
      std::max(this->budget.largest_whole, whole_bytes);
  this->budget.Update(*this, [&](BudgetAccount& account) {
    account.customer = customer_name;
    account.whole = whole_bytes;
  });
  this->moved = 0;
  this->moved_since = now;
  this->is_stalled = false;
}

ReadDecision BudgetAccount::MayRead(TimePoint now) {
  if (this->is_waiting()) {
    return ReadDecision::kWait;
  }
  if (this->budget.Admit(*this)) {
    return ReadDecision::kRead;
  }
  if (this->budget.waiting >= kMaxWaiting) {
    this->budget.Stop(*this, BudgetCause::kTooManyWaiting);
    return ReadDecision::kRefuse;
  }
  this->waiting_since = now;
  ++this->budget.waiting;
  return ReadDecision::kWait;
}

bool BudgetAccount::MayStart(const std::string& customer_name) {
  this->budget.Update(
      *this, [&](BudgetAccount& account) { account.customer = customer_name; });
  const std::size_t limit = this->budget.LimitFor(this->budget.largest_whole);
  if (this->budget.is_calm() || (this->budget.committed <= limit &&
                                 this->budget.LeavesRoom(*this, limit))) {
    return true;
  }
  this->budget.Stop(*this, BudgetCause::kExhausted);
  return false;
}

void BudgetAccount::EndBody() {
  if (this->is_waiting()) {
    this->waiting_since.reset();
    --this->budget.waiting;
  }
  this->budget.Update(*this, [](BudgetAccount& account) {
    account.is_reserved = false;
    account.whole = 0;
  });
}

void BudgetAccount::SetHeld(std::size_t held_bytes) {
  if (held_bytes != this->held) {
    this->budget.Update(*this, [held_bytes](BudgetAccount& account) {
      account.held = held_bytes;
    });
  }
}

template <typename Change>
void BodyBudget::Update(BudgetAccount& account, const Change& change) {
  const std::size_t committed_before = account.Committed();
  this->held -= account.held;
  this->committed -= committed_before;
  if (committed_before > 0) {
    const auto found = this->committed_by_customer.find(account.customer);
    found->second -= committed_before;
    if (found->second == 0) {
      this->committed_by_customer.erase(found);
    }
  }
  change(account);
  this->held += account.held;
  this->committed += account.Committed();
  if (account.Committed() > 0) {
    this->committed_by_customer[account.customer] += account.Committed();
  }
}

std::size_t BodyBudget::LimitFor(std::size_t whole) const {
  return std::max(this->bytes, kMinRequests * whole);
}

std::size_t BodyBudget::CommittedOf(const std::string& customer) const {
  const auto found = this->committed_by_customer.find(customer);
  return found == this->committed_by_customer.end() ? 0 : found->second;
}

bool BodyBudget::is_calm() const {
  return this->committed < this->bytes * kCalmParts / kParts;
}

bool BodyBudget::is_exhausted() const {
  return this->committed + 2 * kSmallBytes >
         this->LimitFor(this->largest_whole);
}

bool BodyBudget::LeavesRoom(const BudgetAccount& account,
                            std::size_t limit) const {
  return this->CommittedOf(account.customer) <=
         limit * kSmallCustomerParts / kParts;
}

bool BodyBudget::CustomerFits(const BudgetAccount& account,
                              std::size_t limit) const {
  const std::size_t others =
      this->CommittedOf(account.customer) - account.Committed();
  // Nobody else has anything that could wait for this customer's part.
  const bool is_alone = this->committed_by_customer.size() <= 1;
  return others == 0 || is_alone ||
         others + account.whole <= limit * kCustomerParts / kParts;
}

bool BodyBudget::Admit(BudgetAccount& account) {
  if (account.is_reserved || this->is_calm()) {
    return true;
  }
  const std::size_t limit = this->LimitFor(account.whole);
  const std::size_t others = this->committed - account.Committed();
  if (account.held < kSmallBytes && others + 2 * kSmallBytes <= limit &&
      this->LeavesRoom(account, limit)) {
    return true;
  }
  if (others + account.whole > limit * kLargeParts / kParts ||
      !this->CustomerFits(account, limit)) {
    return false;
  }
  this->Update(account,
               [](BudgetAccount& admitted) { admitted.is_reserved = true; });
  return true;
}

void BodyBudget::Tick(TimePoint now, bool connections_wait) {
  this->RecordStalls(now);
  this->AdmitWaiting();
  for (int i = 0; i < kMaxStoppedPerTick; ++i) {
    const bool others_wait =
        connections_wait || this->is_anyone_waiting() || this->is_exhausted();
    if (!others_wait || !this->StopStalled()) {
      break;
    }
    this->AdmitWaiting();
  }
  this->StopOverdue(now);
}

void BodyBudget::AdmitWaiting() {
  if (this->waiting == 0) {
    return;
  }
  // The customer that uses least comes first, then whoever waits longest.
  std::vector<BudgetAccount*> order;
  for (BudgetAccount* account : this->accounts) {
    if (account->is_waiting()) {
      order.push_back(account);
    }
  }
  std::sort(order.begin(), order.end(),
            [this](const BudgetAccount* one, const BudgetAccount* other) {
              const std::size_t used = this->CommittedOf(one->customer);
              const std::size_t other_used = this->CommittedOf(other->customer);
              return used != other_used
                         ? used < other_used
                         : one->waiting_since < other->waiting_since;
            });
  std::vector<BudgetAccount*> admitted;
  // Larger ones behind one that lacks room don't take the room that it needs.
  bool lacks_room = false;
  for (BudgetAccount* account : order) {
    const std::size_t limit = this->LimitFor(account->whole);
    const bool is_large = account->held >= kSmallBytes;
    if (is_large && lacks_room && !this->is_calm()) {
      continue;
    }
    if (this->Admit(*account)) {
      admitted.push_back(account);
    } else {
      lacks_room = lacks_room || this->CustomerFits(*account, limit);
    }
  }
  for (BudgetAccount* account : admitted) {
    account->waiting_since.reset();
    --this->waiting;
    account->moved = 0;
    account->is_stalled = false;
  }
  // A holder that goes on doesn't end other accounts.
  for (BudgetAccount* account : admitted) {
    account->holder.OnRoomAvailable();
  }
}

void BodyBudget::RecordStalls(TimePoint now) {
  for (BudgetAccount* account : this->accounts) {
    const bool counts =
        !account->is_waiting() && account->holder.ExpectsProgress();
    if (!counts) {
      account->is_stalled = false;
      account->moved = 0;
      account->moved_since = now;
    } else if (now - account->moved_since >= kProgressInterval) {
      account->is_stalled = account->moved < kMinProgressBytes;
      account->moved = 0;
      account->moved_since = now;
    }
  }
}

bool BodyBudget::StopStalled() {
  BudgetAccount* worst = nullptr;
  std::pair<std::size_t, std::size_t> worst_use{0, 0};
  for (BudgetAccount* account : this->accounts) {
    const std::pair<std::size_t, std::size_t> use{
        this->CommittedOf(account->customer), account->Committed()};
    if (account->is_stalled && use.second > 0 && use > worst_use) {
      worst = account;
      worst_use = use;
    }
  }
  if (worst != nullptr) {
    this->Stop(*worst, BudgetCause::kNoProgress);
    worst->holder.OnStopped(BudgetCause::kNoProgress);
  }
  return worst != nullptr;
}

void BodyBudget::StopOverdue(TimePoint now) {
  if (this->waiting == 0) {
    return;
  }
  std::vector<BudgetAccount*> overdue;
  for (BudgetAccount* account : this->accounts) {
    if (account->is_waiting() && now - *account->waiting_since > kMaxWait) {
      overdue.push_back(account);
    }
  }
  for (BudgetAccount* account : overdue) {
    this->Stop(*account, BudgetCause::kWaitedTooLong);
    account->holder.OnStopped(BudgetCause::kWaitedTooLong);
  }
}

void BodyBudget::Stop(BudgetAccount& account, BudgetCause cause) {
  ++this->stopped[cause];
  account.EndBody();
  account.is_stalled = false;
}

std::size_t BodyBudget::stopped_count(BudgetCause cause) const {
  const auto found = this->stopped.find(cause);
  return found == this->stopped.end() ? 0 : found->second;
}

}  // namespace rosemarycove
