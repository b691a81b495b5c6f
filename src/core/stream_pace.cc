#include "core/stream_pace.h"

namespace rosemarycove {

double StreamPace::RatioOf(const LatencyInputs& inputs,
                           const StreamGaps& gaps) const {
  return ToSeconds(gaps.mean) /
         ToSeconds(this->mean_model.PredictUsual(inputs));
}

void StreamPace::Fit(const LatencyInputs& inputs, const StreamGaps& gaps,
                     double slowdown) {
  this->mean_model.Fit(inputs, gaps.mean, slowdown);
  this->longest_model.Fit(inputs, gaps.longest, slowdown);
  this->is_empty = false;
}

}  // namespace rosemarycove
