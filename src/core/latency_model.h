// A model of the backend servers' latency, learned from their responses.
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
  // Prompt tokens of earlier requests whose prefill may not be done.
  double prefill_tokens_ahead = 0;
  // Number of other requests that are running on the server.
  double running = 0;
};

// Predicts the time to the first event (for a plain service, to the response)
// for the servers of one service. The prediction is a linear function of the
// inputs, times a slowdown factor for each server. A factor decays to 1, so
// that a server that was avoided because it was slow is used again.
//
// The coefficients are fitted by recursive least squares with a forgetting
// factor, so that they follow a service whose servers change. The placer owns
// the models.
class LatencyModel {
 public:
  LatencyModel();

  // Predicts the time to the first event. An unknown server has no slowdown.
  [[nodiscard]] Duration Predict(const std::string& server,
                                 const LatencyInputs& inputs,
                                 TimePoint now) const;
  // Updates the model from the time to the first event of one response.
  void Observe(const std::string& server, const LatencyInputs& inputs,
               Duration first_event, TimePoint now);
  // Updates the server's factor when it sent nothing for this time, which is a
  // lower bound of the time to the first event.
  void ObserveSilence(const std::string& server, const LatencyInputs& inputs,
                      Duration silence, TimePoint now);
  // The same for services whose servers' slowdowns are known from elsewhere
  // (see EngineSpeed); they use these functions instead of the ones above.
  //
  // Predicts the time at a server of usual speed.
  [[nodiscard]] Duration PredictUsual(const LatencyInputs& inputs) const;
  // Updates the model from one response of a server with this slowdown.
  void Fit(const LatencyInputs& inputs, Duration observed, double slowdown);
  // Returns the mean of the fourth power of observed times relative to
  // predicted ones: how much higher than the cost of the predicted time the
  // expected cost is, if the cost grows with the fourth power of the time.
  [[nodiscard]] double CostSpread() const { return this->cost_spread; }

  // Drops the factor of a server that restarted or is gone.
  void Forget(const std::string& server);

  // Returns the server's time relative to the base prediction for the service.
  [[nodiscard]] double SlowdownFactor(const std::string& server,
                                      TimePoint now) const;

 private:
  // Number of coefficients: the constant term and one for each input.
  static constexpr int kTerms = 4;
  using Vector = std::array<double, kTerms>;
  // A server's slowdown factor when it was last updated.
  struct Factor {
    double value = 1;
    TimePoint updated_at;
  };

  // Returns the inputs in the order of the coefficients.
  static Vector Features(const LatencyInputs& inputs);
  // Returns the base prediction for the service, without the factor of a
  // server, in milliseconds.
  [[nodiscard]] double BaseMilliseconds(const Vector& features) const;
  // Moves the coefficients towards a time in milliseconds.
  void FitCoefficients(const Vector& features, double target);
  // Moves a server's factor one step towards the observed one; returns it.
  double UpdateSlowdown(const std::string& server, double observed,
                        TimePoint now);

  Vector coefficients;
  std::array<Vector, kTerms> covariance{};
  std::unordered_map<std::string, Factor> slowdown_by_server;
  double cost_spread = 1;
};

}  // namespace rosemarycove
