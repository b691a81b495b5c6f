#include "core/latency_model.h"

#include <algorithm>
#include <cmath>

namespace rosemarycove {
namespace {

// Starting coefficients in milliseconds: an answer, 1,000 own unread tokens,
// 1,000 unread tokens ahead, one running request. Typical of an engine on one
// accelerator; a few dozen answers replace them.
constexpr std::array<double, 4> kStart = {30, 10, 8, 1};
// Uncertainty of the starting coefficients.
constexpr double kStartVariance = 50;
// Share of what was learned that an answer leaves in place: half of it is
// forgotten in about 700 answers.
constexpr double kMemory = 0.999;
// Weight of one answer in a server's factor.
constexpr double kSlownessStep = 0.15;
// One answer counts as at most this many times as slow as was known: it may
// have waited for work that nobody had told of.
constexpr double kMostSurprise = 4;
// What is above or below the service's speed falls to a third in this time
// without an answer; disturbances that slow a server last for seconds.
constexpr Duration kSlownessLife = std::chrono::seconds(4);
// A server's factor stays in these bounds; beyond, it is ejected instead.
constexpr double kLeastSlowness = 0.3;
constexpr double kMostSlowness = 20;
// An answer's time beyond this many times the prediction teaches the factor
// of its server and leaves the service's coefficients alone.
constexpr double kOutlier = 4;
constexpr double kLeastPrediction = 1;  // Milliseconds.
constexpr double kThousand = 1000;

}  // namespace

LatencyModel::LatencyModel() : weights(kStart) {
  for (int i = 0; i < kTerms; ++i) {
    this->covariance[i][i] = kStartVariance;
  }
}

LatencyModel::Vector LatencyModel::Features(const LatencyInputs& inputs) {
  return {1, inputs.prefill_tokens / kThousand,
          inputs.prefill_tokens_ahead / kThousand, inputs.running};
}

double LatencyModel::Base(const Vector& features) const {
  double sum = 0;
  for (int i = 0; i < kTerms; ++i) {
    sum += std::max(0.0, this->weights[i]) * features[i];
  }
  return std::max(sum, kLeastPrediction);
}

Duration LatencyModel::Predict(const std::string& server,
                               const LatencyInputs& inputs,
                               TimePoint now) const {
  const double milliseconds =
      this->Base(Features(inputs)) * this->SlowdownFactor(server, now);
  return FromSeconds(milliseconds / kThousand);
}

void LatencyModel::Observe(const std::string& server,
                           const LatencyInputs& inputs, Duration first_event,
                           TimePoint now) {
  const Vector features = Features(inputs);
  const double base = this->Base(features);
  const double seen = ToMilliseconds(first_event);
  const double factor = this->MoveSlowness(server, seen / base, now);
  if (seen > kOutlier * base * factor) {
    return;
  }
  // The service's coefficients learn what is left once the server's own
  // factor is taken out.
  const double target = seen / std::max(1.0, factor);
  Vector gain{};
  double denominator = kMemory;
  for (int i = 0; i < kTerms; ++i) {
    for (int j = 0; j < kTerms; ++j) {
      gain[i] += this->covariance[i][j] * features[j];
    }
    denominator += features[i] * gain[i];
  }
  double linear = 0;
  for (int i = 0; i < kTerms; ++i) {
    linear += this->weights[i] * features[i];
  }
  const double error = target - linear;
  const Vector reach = gain;
  for (int i = 0; i < kTerms; ++i) {
    this->weights[i] += gain[i] / denominator * error;
    for (int j = 0; j < kTerms; ++j) {
      this->covariance[i][j] =
          (this->covariance[i][j] - gain[i] / denominator * reach[j]) / kMemory;
    }
    // Forgetting inflates directions that no answer shows; bound them.
    this->covariance[i][i] = std::min(this->covariance[i][i], kStartVariance);
  }
}

void LatencyModel::ObserveSilence(const std::string& server,
                                  const LatencyInputs& inputs, Duration silence,
                                  TimePoint now) {
  const double base = this->Base(Features(inputs));
  const double bound = ToMilliseconds(silence) / base;
  if (bound > this->SlowdownFactor(server, now)) {
    this->MoveSlowness(server, bound, now);
  }
}

double LatencyModel::MoveSlowness(const std::string& server, double seen,
                                  TimePoint now) {
  double factor = this->SlowdownFactor(server, now);
  const double most = std::min(kMostSlowness, kMostSurprise * factor);
  factor += kSlownessStep * (std::clamp(seen, kLeastSlowness, most) - factor);
  this->slowness[server] = {.value = factor, .at = now};
  return factor;
}

void LatencyModel::Forget(const std::string& server) {
  this->slowness.erase(server);
}

double LatencyModel::SlowdownFactor(const std::string& server,
                                    TimePoint now) const {
  const auto found = this->slowness.find(server);
  if (found == this->slowness.end()) {
    return 1;
  }
  const Factor& factor = found->second;
  const double lives = ToSeconds(now - factor.at) / ToSeconds(kSlownessLife);
  return 1 + (factor.value - 1) * std::exp(-std::max(0.0, lives));
}

}  // namespace rosemarycove
