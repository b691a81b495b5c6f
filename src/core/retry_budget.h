// Limits the fraction of requests that one instance retries. Used by Node; the
// proxy (src/proxy) uses FleetRetryBudget.
#pragma once

namespace rosemarycove {

// A token bucket: first attempts add to its balance and retries draw on it. It
// prevents retries from multiplying the load when many attempts fail. Owned by
// a Node.
class RetryBudget {
 public:
  explicit RetryBudget(double ratio) : ratio(ratio) {}

  // Sets the retries allowed per first attempt.
  void set_ratio(double value) { this->ratio = value; }
  // Adds `ratio` retries for a first attempt.
  void Deposit();
  // Withdraws one retry. Returns false if the balance is too low.
  bool TryWithdraw();

 private:
  // The initial and maximum balance, in retries.
  static constexpr double kMaxBalance = 20;

  double ratio;
  double balance = kMaxBalance;
};

}  // namespace rosemarycove
