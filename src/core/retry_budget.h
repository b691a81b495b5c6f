// Bounds how much of the traffic may be sent again.
#pragma once

namespace rosemarycove {

// A token bucket that first sendings fill and retries empty.
class RetryBudget {
 public:
  explicit RetryBudget(double ratio) : ratio(ratio) {}

  void set_ratio(double value) { this->ratio = value; }
  // Notes a first sending.
  void Deposit();
  // Takes one retry; false when the budget is spent.
  bool TryWithdraw();

 private:
  // Retries allowed before any traffic, and the most that can be saved up.
  static constexpr double kMaxBalance = 20;

  double ratio;
  double balance = kMaxBalance;
};

}  // namespace rosemarycove
