#include "core/attainment.h"

namespace rosemarycove {

double AttainmentCount::Share() const {
  return this->ended == 0 ? 1
                          : static_cast<double>(this->on_target) /
                                static_cast<double>(this->ended);
}

void Attainment::Add(const std::string& class_name, bool on_target,
                     TimePoint now) {
  const std::int64_t number = StepNumber(now);
  Step& step = this->classes[class_name][static_cast<std::size_t>(
      number % static_cast<std::int64_t>(kSteps))];
  if (step.number != number) {
    step = {.number = number, .count = {}};
  }
  ++step.count.ended;
  step.count.on_target += on_target ? 1 : 0;
}

AttainmentCount Attainment::Count(const std::string& class_name, Duration span,
                                  TimePoint now) const {
  AttainmentCount total;
  const auto found = this->classes.find(class_name);
  if (found == this->classes.end()) {
    return total;
  }
  const std::int64_t newest = StepNumber(now);
  const std::int64_t oldest = StepNumber(now - span);
  for (const Step& step : found->second) {
    if (step.number > oldest && step.number <= newest) {
      total.ended += step.count.ended;
      total.on_target += step.count.on_target;
    }
  }
  return total;
}

}  // namespace rosemarycove
