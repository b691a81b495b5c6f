#include "core/latency_model.h"

#include <algorithm>
#include <cmath>

namespace rosemarycove {
namespace {

// Initial coefficients in milliseconds: the constant term, and the terms for
// 1,000 prefill tokens, 1,000 prefill tokens ahead, and one running request.
// Typical of an engine on one accelerator; a few dozen responses replace them.
constexpr std::array<double, 4> kInitialCoefficients = {30, 10, 8, 1};
// Variance of the initial coefficients, and the upper bound afterwards.
constexpr double kInitialVariance = 50;
// Forgetting factor for each response: the weight of a response halves in about
// 700 responses.
constexpr double kForgettingFactor = 0.999;
// Weight of one response in a server's slowdown factor.
constexpr double kSlowdownStep = 0.15;
// One response counts as at most this many times the known slowdown: it may
// have waited for work that no instance had reported.
constexpr double kMaxSlowdownGrowth = 4;
// A factor's distance from 1 decays to 1/e in this time without a response;
// disturbances that slow a server last for seconds.
constexpr Duration kSlowdownDecayTime = std::chrono::seconds(4);
// Bounds of a server's factor; a slower server is ejected instead.
constexpr double kMinSlowdown = 0.3;
constexpr double kMaxSlowdown = 20;
// A response beyond this many times its prediction updates only the factor of
// its server, not the coefficients of the service.
constexpr double kOutlierRatio = 4;
// Weight of one response in the spread, the exponent of the cost of lateness
// (see Placer), and the upper bound of one response.
constexpr double kSpreadWeight = 0.01;
constexpr double kCostExponent = 4;
constexpr double kMaxCostSpread = 40;
// Lower bound of a prediction, since observed times are divided by it.
constexpr double kMinPredictionMilliseconds = 1;
// Prefill tokens are counted in thousands, so that the features are of similar
// size.
constexpr double kTokensPerFeatureUnit = 1000;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

LatencyModel::LatencyModel() : coefficients(kInitialCoefficients) {
  for (int i = 0; i < kTerms; ++i) {
    this->covariance[i][i] = kInitialVariance;
  }
}

LatencyModel::Vector LatencyModel::Features(const LatencyInputs& inputs) {
  return {1, inputs.prefill_tokens / kTokensPerFeatureUnit,
          inputs.prefill_tokens_ahead / kTokensPerFeatureUnit, inputs.running};
}

double LatencyModel::BaseMilliseconds(const Vector& features) const {
  double sum = 0;
  for (int i = 0; i < kTerms; ++i) {
    sum += std::max(0.0, this->coefficients[i]) * features[i];
  }
  return std::max(sum, kMinPredictionMilliseconds);
}

Duration LatencyModel::Predict(const std::string& server,
                               const LatencyInputs& inputs,
                               TimePoint now) const {
  const double milliseconds = this->BaseMilliseconds(Features(inputs)) *
                              this->SlowdownFactor(server, now);
  return FromSeconds(milliseconds / kMillisecondsPerSecond);
}

void LatencyModel::Observe(const std::string& server,
                           const LatencyInputs& inputs, Duration first_event,
                           TimePoint now) {
  const Vector features = Features(inputs);
  const double base = this->BaseMilliseconds(features);
  const double observed = ToMilliseconds(first_event);
  const double factor = this->UpdateSlowdown(server, observed / base, now);
  if (observed > kOutlierRatio * base * factor) {
    return;
  }
  // The coefficients are fitted to the time without the server's own slowdown.
  this->FitCoefficients(features, observed / std::max(1.0, factor));
}

void LatencyModel::FitCoefficients(const Vector& features, double target) {
  Vector gain{};
  double denominator = kForgettingFactor;
  for (int i = 0; i < kTerms; ++i) {
    for (int j = 0; j < kTerms; ++j) {
      gain[i] += this->covariance[i][j] * features[j];
    }
    denominator += features[i] * gain[i];
  }
  double fitted = 0;
  for (int i = 0; i < kTerms; ++i) {
    fitted += this->coefficients[i] * features[i];
  }
  const double error = target - fitted;
  const Vector unscaled_gain = gain;
  for (int i = 0; i < kTerms; ++i) {
    this->coefficients[i] += gain[i] / denominator * error;
    for (int j = 0; j < kTerms; ++j) {
      this->covariance[i][j] =
          (this->covariance[i][j] - gain[i] / denominator * unscaled_gain[j]) /
          kForgettingFactor;
    }
    // Forgetting inflates the variance of directions without observations;
    // bound it.
    this->covariance[i][i] = std::min(this->covariance[i][i], kInitialVariance);
  }
}

Duration LatencyModel::PredictUsual(const LatencyInputs& inputs) const {
  return FromSeconds(this->BaseMilliseconds(Features(inputs)) /
                     kMillisecondsPerSecond);
}

void LatencyModel::Fit(const LatencyInputs& inputs, Duration observed,
                       double slowdown) {
  const Vector features = Features(inputs);
  const double target = ToMilliseconds(observed) / slowdown;
  const double ratio = target / this->BaseMilliseconds(features);
  this->cost_spread +=
      kSpreadWeight *
      (std::clamp(std::pow(ratio, kCostExponent), 0.0, kMaxCostSpread) -
       this->cost_spread);
  if (ratio <= kOutlierRatio) {
    this->FitCoefficients(features, target);
  }
}

void LatencyModel::ObserveSilence(const std::string& server,
                                  const LatencyInputs& inputs, Duration silence,
                                  TimePoint now) {
  const double base = this->BaseMilliseconds(Features(inputs));
  const double bound = ToMilliseconds(silence) / base;
  if (bound > this->SlowdownFactor(server, now)) {
    this->UpdateSlowdown(server, bound, now);
  }
}

double LatencyModel::UpdateSlowdown(const std::string& server, double observed,
                                    TimePoint now) {
  double factor = this->SlowdownFactor(server, now);
  const double max_observed =
      std::min(kMaxSlowdown, kMaxSlowdownGrowth * factor);
  factor += kSlowdownStep *
            (std::clamp(observed, kMinSlowdown, max_observed) - factor);
  this->slowdown_by_server[server] = {.value = factor, .updated_at = now};
  return factor;
}

void LatencyModel::Forget(const std::string& server) {
  this->slowdown_by_server.erase(server);
}

double LatencyModel::SlowdownFactor(const std::string& server,
                                    TimePoint now) const {
  const auto found = this->slowdown_by_server.find(server);
  if (found == this->slowdown_by_server.end()) {
    return 1;
  }
  const Factor& factor = found->second;
  const double decay_times =
      ToSeconds(now - factor.updated_at) / ToSeconds(kSlowdownDecayTime);
  return 1 + (factor.value - 1) * std::exp(-std::max(0.0, decay_times));
}

}  // namespace rosemarycove
