// Predicts answer lengths as distributions.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace rosemarycove {

// A decayed histogram of answer lengths over geometric buckets.
class LengthDistribution {
 public:
  // Bucket i holds lengths up to 2^((i+1)/2) tokens.
  static constexpr std::size_t kBuckets = 34;

  // Adds one observed length in tokens; older ones lose weight.
  void Observe(int tokens);
  // Sum of the decayed weights.
  [[nodiscard]] double weight() const { return this->total; }
  // Mean length in tokens; 0 without observations.
  [[nodiscard]] double Mean() const;
  // Length that covers the share `quantile` of the weight, interpolated within
  // its bucket.
  [[nodiscard]] double Quantile(double quantile) const;

 private:
  std::array<double, kBuckets> buckets{};
  double total = 0;
  double sum = 0;
};

// What the scheduler needs of a predicted length, in tokens.
struct LengthEstimate {
  double mean = 0;
  double p95 = 0;  // The 0.95 quantile.
};

// Learns lengths by class and customer, and falls back to the class.
class LengthPredictor {
 public:
  // Records the length in tokens of a whole answer.
  void Observe(const std::string& class_name, const std::string& customer,
               int tokens);
  // Estimates an answer's length; never more than `max_tokens` when that is
  // above 0.
  [[nodiscard]] LengthEstimate Estimate(const std::string& class_name,
                                        const std::string& customer,
                                        int max_tokens) const;

 private:
  std::unordered_map<std::string, LengthDistribution> by_class;
  std::unordered_map<std::string, LengthDistribution> by_customer;
};

}  // namespace rosemarycove
