#include "core/data_centre_choice.h"

#include <algorithm>
#include <cmath>

namespace rosemarycove {
namespace {

constexpr double kBytesPerKilobyte = 1000;
// The bytes of a kilobyte cost as much as the prefill of this many prompt
// tokens.
constexpr double kTokensPerKilobyte = 25;
// Typical sizes: of the heads of a request and its response, of a prompt token
// if the body is unknown, and of an output token with its share of an event.
constexpr double kHeadBytes = 800;
constexpr double kBytesPerPromptToken = 1;
constexpr double kBytesPerOutputToken = 12;

// Requests that found no capacity at home decay to 1/e in this time.
constexpr Duration kOverloadDecayTime = std::chrono::seconds(1);
// Waiting requests are tried again within their short wait; more than these
// don't wait at an instance at once.
constexpr std::size_t kMaxCountedRequests = 64;
// The knowledge of spare capacity decays to 1/e in this time: a burst fills the
// engines of a data centre within about a second.
constexpr Duration kSpareDecayTime = std::chrono::seconds(1);
// The part of the spare capacity that may be taken before it is known again.
constexpr double kSparePart = 0.5;
// The share after a time without overload, and how much it may grow and shrink
// within a second.
constexpr double kInitialShare = 0.5;
constexpr double kGrowthPerSecond = 1;
constexpr double kShrinkagePerSecond = 4;
constexpr Duration kForgetTime = std::chrono::seconds(5);

}  // namespace

std::string_view ToString(LeaveReason reason) {
  switch (reason) {
    case LeaveReason::kNoServer:
      return "no_server";
    case LeaveReason::kFull:
      return "full";
    case LeaveReason::kSlow:
      return "slow";
    case LeaveReason::kCached:
      return "cached";
  }
  return "unknown";
}

double DataCentreChoice::TokensWorthBytes(const LeaveCostInputs& inputs) {
  const double body = inputs.body_bytes > 0
                          ? static_cast<double>(inputs.body_bytes)
                          : kBytesPerPromptToken * inputs.prompt_tokens;
  const double bytes =
      kHeadBytes + body + kBytesPerOutputToken * inputs.expected_output_tokens;
  return kTokensPerKilobyte * bytes / kBytesPerKilobyte;
}

bool DataCentreChoice::ShouldReadAtHome(double read_tokens, double leave_tokens,
                                        double draw) {
  return draw * read_tokens < leave_tokens;
}

void DataCentreChoice::RecordOverload(const std::string& service,
                                      std::uint64_t request, TimePoint now) {
  Overload& overload = this->overloads[service];
  if (std::find(overload.requests.begin(), overload.requests.end(), request) !=
      overload.requests.end()) {
    return;
  }
  overload.requests.push_back(request);
  if (overload.requests.size() > kMaxCountedRequests) {
    overload.requests.pop_front();
  }
  overload.count =
      1 + overload.count * std::exp(-ToSeconds(now - overload.updated_at) /
                                    ToSeconds(kOverloadDecayTime));
  overload.updated_at = now;
}

double DataCentreChoice::OverloadRate(const std::string& service,
                                      TimePoint now) const {
  const auto found = this->overloads.find(service);
  if (found == this->overloads.end()) {
    return 0;
  }
  return found->second.count *
         std::exp(-ToSeconds(now - found->second.updated_at) /
                  ToSeconds(kOverloadDecayTime)) /
         ToSeconds(kOverloadDecayTime);
}

void DataCentreChoice::Update(const std::string& service,
                              const std::string& data_centre,
                              const SpareCapacity& spare, int instances,
                              Duration unreported_time, TimePoint now) {
  const double known_slots = spare.slots * std::exp(-ToSeconds(spare.age) /
                                                    ToSeconds(kSpareDecayTime));
  const double wanted =
      this->OverloadRate(service, now) * instances * ToSeconds(unreported_time);
  const double target =
      wanted <= 0 ? 1 : std::min(1.0, kSparePart * known_slots / wanted);
  Share& share = this->shares[{service, data_centre}];
  const double elapsed = ToSeconds(now - share.updated_at);
  if (elapsed > ToSeconds(kForgetTime)) {
    share.value = std::min(kInitialShare, target);
  } else {
    share.value =
        std::clamp(target, share.value - kShrinkagePerSecond * elapsed,
                   share.value + kGrowthPerSecond * elapsed);
  }
  share.updated_at = now;
}

bool DataCentreChoice::MayLeave(const std::string& service,
                                const std::string& data_centre,
                                double draw) const {
  const auto found = this->shares.find({service, data_centre});
  return found != this->shares.end() && draw < found->second.value;
}

}  // namespace rosemarycove
