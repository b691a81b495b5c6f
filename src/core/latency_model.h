// How fast the backend servers of one service answer, learned from answers.
#pragma once

#include <array>
#include <string>
#include <unordered_map>

#include "core/types.h"

namespace rosemarycove {

// What an answer's time to the first event depends on.
struct LatencyInputs {
  // Prompt tokens that the server has to read for this request.
  double prefill_tokens = 0;
  // Prompt tokens of others that were sent before and are unread.
  double prefill_tokens_ahead = 0;
  // Requests that run beside it.
  double running = 0;
};

// Predicts the time to the first event (or to the answer of a plain service)
// as a linear function of its inputs, with a factor for each server. A factor
// fades, so that a server that was avoided for its slowness is used again.
//
// The coefficients are fitted by recursive least squares that forgets slowly,
// so they follow a service whose servers change; nothing is known beforehand.
class LatencyModel {
 public:
  LatencyModel();

  // Predicted time at a server that has not been heard of is the service's.
  [[nodiscard]] Duration Predict(const std::string& server,
                                 const LatencyInputs& inputs,
                                 TimePoint now) const;
  // Learns from one answer.
  void Observe(const std::string& server, const LatencyInputs& inputs,
               Duration first_event, TimePoint now);
  // A lower bound only: the server has not answered for this long.
  void ObserveSilence(const std::string& server, const LatencyInputs& inputs,
                      Duration silence, TimePoint now);
  void Forget(const std::string& server);

  // How many times as long as its service's other servers it takes.
  [[nodiscard]] double SlowdownFactor(const std::string& server,
                                      TimePoint now) const;

 private:
  static constexpr int kTerms = 4;
  using Vector = std::array<double, kTerms>;
  // A server's factor as it was when it last changed.
  struct Factor {
    double value = 1;
    TimePoint at;
  };

  static Vector Features(const LatencyInputs& inputs);
  [[nodiscard]] double Base(const Vector& features) const;
  // Moves a server's factor a step towards the one seen; returns it.
  double MoveSlowness(const std::string& server, double seen, TimePoint now);

  Vector weights;
  std::array<Vector, kTerms> covariance{};
  std::unordered_map<std::string, Factor> slowness;
};

}  // namespace rosemarycove
