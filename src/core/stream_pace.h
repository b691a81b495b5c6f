// A model of the times between the events of streams, learned from the streams
// of one service. Used by Placer.
#pragma once

#include "core/latency_model.h"
#include "core/types.h"

namespace rosemarycove {

// The pauses of one stream after its first event.
struct StreamGaps {
  Duration mean{};
  Duration longest{};
};

// Predicts the pauses of a stream at an engine of usual speed. The mean shows
// the speed of an engine best, and the longest one decides whether a stream
// meets its gap target.
class StreamPace {
 public:
  // Returns the mean pause relative to what is expected of an engine of usual
  // speed.
  [[nodiscard]] double RatioOf(const LatencyInputs& inputs,
                               const StreamGaps& gaps) const;
  // Updates the model from a stream of an engine with this slowdown.
  void Fit(const LatencyInputs& inputs, const StreamGaps& gaps,
           double slowdown);
  [[nodiscard]] Duration PredictLongest(const LatencyInputs& inputs) const {
    return this->longest_model.PredictUsual(inputs);
  }
  // See LatencyModel::CostSpread.
  [[nodiscard]] double CostSpread() const {
    return this->longest_model.CostSpread();
  }
  // No stream has been observed.
  [[nodiscard]] bool empty() const { return this->is_empty; }

 private:
  LatencyModel mean_model;
  LatencyModel longest_model;
  bool is_empty = true;
};

}  // namespace rosemarycove
