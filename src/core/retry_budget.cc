#include "core/retry_budget.h"

#include <algorithm>

namespace rosemarycove {

void RetryBudget::Deposit() {
  this->balance = std::min(kMaxBalance, this->balance + this->ratio);
}

bool RetryBudget::TryWithdraw() {
  if (this->balance < 1) {
    return false;
  }
  this->balance -= 1;
  return true;
}

}  // namespace rosemarycove
