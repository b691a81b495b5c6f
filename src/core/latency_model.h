// A model of the backend servers' latency, learned from their answers.
#pragma once

#include <array>
#include <string>
#include <unordered_map>

#include "core/types.h"

namespace rosemarycove {

// The inputs on which the time to the first event depends.
struct LatencyInputs {
  // Prompt tokens that the server has to prefill for this request.
  double prefill_tokens = 0;
  // Pending prefill tokens of requests that were sent before.
  double prefill_tokens_ahead = 0;
  // Other requests that are running.
  double running = 0;
};

// Predicts the time to the first event (or to the answer of a plain service)
// for the servers of one service. The prediction is a linear function of the
// inputs, times a slowdown factor for each server. A factor decays to 1, so
// that a server that was avoided for its slowness is used again.
//
// The coefficients are fitted by recursive least squares with a forgetting
// factor, so that they follow a service whose servers change. The placer owns
// the models.
class LatencyModel {
 public:
  LatencyModel();

  // For an unknown server, predicts the usual time of the service.
  [[nodiscard]] Duration Predict(const std::string& server,
                                 const LatencyInputs& inputs,
                                 TimePoint now) const;
  // Learns from the time of one answer.
  void Observe(const std::string& server, const LatencyInputs& inputs,
               Duration first_event, TimePoint now);
  // Learns from a server that has not answered for this long, which is a lower
  // bound of its time.
  void ObserveSilence(const std::string& server, const LatencyInputs& inputs,
                      Duration silence, TimePoint now);
  // Drops the factor of a server that restarted or left.
  void Forget(const std::string& server);

  // Returns the server's time relative to the usual time of the service.
  [[nodiscard]] double SlowdownFactor(const std::string& server,
                                      TimePoint now) const;

 private:
  // Coefficients: one constant and one for each input.
  static constexpr int kTerms = 4;
  using Vector = std::array<double, kTerms>;
  // A server's slowdown factor when it was last updated.
  struct Factor {
    double value = 1;
    TimePoint updated_at;
  };

  // The inputs in the order of the coefficients.
  static Vector Features(const LatencyInputs& inputs);
  // Predicts the usual time of the service, in milliseconds.
  [[nodiscard]] double BaseMilliseconds(const Vector& features) const;
  // Moves a server's factor one step towards the observed one; returns it.
  double UpdateSlowdown(const std::string& server, double observed,
                        TimePoint now);

  Vector coefficients;
  std::array<Vector, kTerms> covariance{};
  std::unordered_map<std::string, Factor> slowdown_by_server;
};

}  // namespace rosemarycove
