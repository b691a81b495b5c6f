#include "core/retry_budget.h"

#include <algorithm>

namespace rosemarycove {

void RetryBudget::Earn() {
  this->saved = std::min(kMaxSaved, this->saved + this->ratio);
}

bool RetryBudget::Spend() {
  if (this->saved < 1) {
    return false;
  }
  this->saved -= 1;
  return true;
}

}  // namespace rosemarycove
