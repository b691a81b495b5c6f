// The requests that callers send, and what whole responses to them hold.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace rosemarycove::soak {

using Clock = std::chrono::steady_clock;

enum class Kind : std::uint8_t { kOnce, kRepeatable, kResumable, kStream };
constexpr int kKindCount = 4;

// The customers; the first one is more urgent.
constexpr const char* kCustomers[] = {"urgent", "patient"};  // NOLINT

// A request that a caller has sent completely.
struct SentRequest {
  std::string id;
  Kind kind = Kind::kOnce;
  std::string instance;
  std::string customer;
  // The version of the configuration in which the key appeared.
  int key_version = 0;
  // A response before it announced that the connection will be closed.
  bool follows_close = false;
  Clock::time_point sent_at;
};

struct Response {
  int status = 0;
  std::string head;
  // Without the framing of chunks.
  std::string body;
  bool is_whole = false;
};

bool IsStream(Kind kind);
// Whether the request may run more than once.
bool MayRepeat(Kind kind);
std::string ApiKey(const std::string& customer, int version);
std::string RequestBytes(const SentRequest& request);
// Returns whether a request that a server received is as its caller sent it,
// and has the customer that its caller is.
bool IsUnchanged(const std::string& message);
// The kind of a request that a server received.
Kind KindOf(const std::string& message);

// What the response to the request with this id holds.
std::string ResponseBody(const std::string& id);
int EventCount(const std::string& id);
// Events are numbered from 1.
std::string EventBytes(const std::string& id, int number);
std::string AllEvents(const std::string& id);

}  // namespace rosemarycove::soak
