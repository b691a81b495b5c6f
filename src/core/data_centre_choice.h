// Weighs whether a request should leave its data centre. Used by Placer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "core/types.h"

namespace rosemarycove {

// Why a request went to a server in another data centre.
enum class LeaveReason : std::uint8_t {
  kNoServer,  // No server of the service at home can be reached.
  kFull,      // All servers at home are at a limit.
  kSlow,      // The expected wait and lateness at home cost more than leaving.
  // Its shared parts are cached there and not at home, and to read them at home
  // would cost more than the bytes.
  kCached,
};

// Returns the word that logs and metrics use.
std::string_view ToString(LeaveReason reason);

// When requests may leave their data centre.
enum class LeavePolicy : std::uint8_t {
  kWhenItPays,
  kNever,  // Only if no server at home can be reached.
};

// The sizes that decide what it costs to send a request elsewhere.
struct LeaveCostInputs {
  // Of the request's body; 0 if unknown.
  std::size_t body_bytes = 0;
  int prompt_tokens = 0;
  int expected_output_tokens = 0;
};

// What is known of the engines of another data centre that a request may use.
struct SpareCapacity {
  // Slots that the data centre can spare beside its own more urgent work.
  double slots = 0;
  // Age of the oldest load report.
  Duration age{};
};

// Decides how many of the requests that find the home data centre too full or
// too slow may leave it.
//
// All instances learn of the same spare capacity from the same reports. So each
// lets through only a share of its own requests: the spare capacity divided by
// what all instances outside that data centre would send before they hear of
// each other, if all send as many as this one. The share changes gradually.
class DataCentreChoice {
 public:
  // Returns the prompt tokens whose prefill costs as much as the bytes of the
  // request and its response.
  [[nodiscard]] static double TokensWorthBytes(const LeaveCostInputs& inputs);
  // Returns whether a request should have its shared parts read at home, where
  // they are not cached, although they are cached elsewhere. `draw` is a number
  // from 0 to 1 that is the same at each attempt to place the request.
  //
  // To read the parts once at home costs as much as sending several requests
  // elsewhere, and how many will come is not known. So the next request is the
  // one that has them read with the probability at which both expected costs
  // are equal: parts that are used often are soon cached at home, and those
  // that are used seldom rarely are.
  [[nodiscard]] static bool ShouldReadAtHome(double read_tokens,
                                             double leave_tokens, double draw);

  // Records that a request of the service found the home data centre too full
  // or too slow. A request counts once, however often it is tried.
  void RecordOverload(const std::string& service, std::uint64_t request,
                      TimePoint now);
  // Returns how many of them there were lately, per second.
  [[nodiscard]] double OverloadRate(const std::string& service,
                                    TimePoint now) const;
  // Updates the share of such requests that may go to a data centre.
  // `instances` is the number of instances outside of it, and `unreported_time`
  // the mean time until they hear of a request.
  void Update(const std::string& service, const std::string& data_centre,
              const SpareCapacity& spare, int instances,
              Duration unreported_time, TimePoint now);
  // Returns whether a request with this draw may go there; see
  // ShouldReadAtHome.
  [[nodiscard]] bool MayLeave(const std::string& service,
                              const std::string& data_centre,
                              double draw) const;

 private:
  struct Overload {
    double count = 0;
    TimePoint updated_at;
    // The requests that were counted lately, oldest first.
    std::deque<std::uint64_t> requests;
  };
  struct Share {
    double value = 0;
    TimePoint updated_at;
  };

  // By service.
  std::map<std::string, Overload> overloads;
  // By service and data centre.
  std::map<std::pair<std::string, std::string>, Share> shares;
};

}  // namespace rosemarycove
