// Prediction of answer lengths from those observed before.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace rosemarycove {

// A histogram of answer lengths with geometric buckets and exponential decay.
class LengthDistribution {
 public:
  // Bucket i holds lengths of up to 2^((i+1)/2) tokens.
  static constexpr std::size_t kBuckets = 34;

  // Adds an observed length in tokens. The weight of older ones decays.
  void Observe(int tokens);
  // Sum of the decayed weights.
  [[nodiscard]] double weight() const { return this->total_weight; }
  // Mean length in tokens; 0 if nothing was observed.
  [[nodiscard]] double Mean() const;
  // Returns the quantile (0 to 1) in tokens, interpolated within its bucket.
  [[nodiscard]] double Quantile(double quantile) const;

 private:
  std::array<double, kBuckets> buckets{};
  double total_weight = 0;
  double weighted_sum = 0;
};

// A predicted answer length, in tokens.
struct LengthEstimate {
  double mean = 0;
  double p95 = 0;  // The 0.95 quantile.
};

// Predicts lengths by class and customer, or by the class alone while the
// customer has too few observations. Owned by a Scheduler.
class LengthPredictor {
 public:
  // Records the length in tokens of a complete answer.
  void Observe(const std::string& class_name, const std::string& customer,
               int tokens);
  // Estimates the length of an answer. A `max_tokens` above 0 bounds it.
  [[nodiscard]] LengthEstimate Estimate(const std::string& class_name,
                                        const std::string& customer,
                                        int max_tokens) const;

 private:
  std::unordered_map<std::string, LengthDistribution> by_class;
  std::unordered_map<std::string, LengthDistribution> by_customer;
};

}  // namespace rosemarycove
