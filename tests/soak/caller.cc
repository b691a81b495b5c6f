#include "tests/soak/caller.h"

#include <fmt/format.h>

#include <cstdlib>
#include <utility>

namespace rosemarycove::soak {
namespace {

using platform::HeaderValue;
using platform::RawConnection;
using std::chrono::milliseconds;

// The longest time that a caller waits.
constexpr auto kSilence = milliseconds(9000);
// One caller in this many pauses between requests, so that connections are idle
// when they are closed.
constexpr int kPausingOneIn = 4;

// Removes the framing of chunks. Returns the rest of a chunk that is not whole
// too.
Response WithoutChunks(Response response, const std::string& bytes) {
  std::size_t position = 0;
  while (position < bytes.size()) {
    const std::size_t line = bytes.find("\r\n", position);
    if (line == std::string::npos) {
      break;
    }
    const std::size_t size =
        std::strtoul(bytes.c_str() + position, nullptr, 16);
    if (size == 0) {
      response.is_whole = bytes.size() >= line + 4;
      break;
    }
    response.body += bytes.substr(line + 2, size);
    position = line + 2 + size + 2;
  }
  return response;
}

// Returns nullopt if the connection ends before the end of the head.
std::optional<Response> ReadResponse(RawConnection& connection) {
  Response response{.head = connection.ReadUntil("\r\n\r\n")};
  if (!response.head.ends_with("\r\n\r\n")) {
    return std::nullopt;
  }
  response.status =
      std::atoi(response.head.c_str() + response.head.find(' ') + 1);
  if (!HeaderValue(response.head, "Transfer-Encoding").empty()) {
    return WithoutChunks(response, connection.ReadUntil("0\r\n\r\n"));
  }
  const auto size = static_cast<std::size_t>(
      std::atoi(HeaderValue(response.head, "Content-Length").c_str()));
  response.body = connection.ReadBytes(size);
  response.is_whole = response.body.size() == size;
  return response;
}

}  // namespace

Caller::Caller(int caller_number, std::uint64_t seed,
               std::vector<GatewayProcess*> all_gateways,
               Promises& all_promises)
    : number(caller_number),
      random(seed),
      gateways(std::move(all_gateways)),
      promises(all_promises),
      thread([this] { this->Run(); }) {}

Caller::~Caller() {
  this->Stop();
  this->thread.join();
}

void Caller::GiveUpIfSilent() {
  const std::lock_guard lock(this->mutex);
  if (this->pending && Clock::now() - this->pending->sent_at > kSilence) {
    this->promises.OnSilence(*this->pending);
    this->pending.reset();
    this->connection->Shutdown();
  }
}

void Caller::Run() {
  constexpr auto kRetryDelay = milliseconds(30);
  constexpr int kLongestPause = 300;
  while (!this->is_stopping) {
    const GatewayProcess& gateway = *this->gateways[static_cast<std::size_t>(
        this->random.Below(static_cast<int>(this->gateways.size())))];
    auto opened = RawConnection::Connect(gateway.caller_port());
    if (!opened) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    {
      const std::lock_guard lock(this->mutex);
      this->connection = std::move(opened);
    }
    this->is_last = false;
    while (this->SendOne(gateway.name(), this->is_last)) {
      std::this_thread::sleep_for(this->number % kPausingOneIn == 0
                                      ? this->random.Between(0, kLongestPause)
                                      : std::exchange(this->pause, {}));
    }
  }
  this->has_ended = true;
}

bool Caller::SendOne(const std::string& instance, bool follows_close) {
  constexpr int kRevokedKeyOneIn = 20;
  // Time within which the reset arrives that follows the end of a connection
  // with unread bytes.
  constexpr auto kResetDelay = milliseconds(30);
  const std::optional<int> revoked = this->random.OneIn(kRevokedKeyOneIn)
                                         ? this->promises.RevokedVersion()
                                         : std::nullopt;
  SentRequest request{
      .id = fmt::format("c{}r{}", this->number, this->sent_count++),
      .kind = static_cast<Kind>(this->random.Below(kKindCount)),
      .instance = instance,
      .customer = kCustomers[this->number % 2],
      .key_version = revoked.value_or(this->promises.GoodVersion()),
      .follows_close = follows_close,
      .sent_at = Clock::now()};
  this->promises.OnSend(request);
  this->SetPending(request);
  if (!this->connection->Send(RequestBytes(request))) {
    this->SetPending(std::nullopt);
    this->promises.OnConnectionEnd(request, ConnectionEnd::kUnread);
    return false;
  }
  const std::optional<Response> response = ReadResponse(*this->connection);
  if (!this->SetPending(std::nullopt)) {
    return false;
  }
  if (!response) {
    // A reset follows if the request had not been read; nothing can be sent
    // after it.
    std::this_thread::sleep_for(kResetDelay);
    this->promises.OnConnectionEnd(request, this->connection->Send("x")
                                                ? ConnectionEnd::kAfterReading
                                                : ConnectionEnd::kUnread);
    return false;
  }
  this->promises.OnResponse(request, *response);
  if (response->status == 429 || response->status == 503) {
    this->pause = this->random.Between(1, 50);
  }
  // Some callers send once more than they may.
  const bool closes = HeaderValue(response->head, "Connection") == "close";
  const bool sends_on = !closes || (!follows_close && this->random.OneIn(2));
  this->is_last = closes;
  return response->is_whole && sends_on;
}

bool Caller::SetPending(std::optional<SentRequest> request) {
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->pending, std::move(request)).has_value();
}

}  // namespace rosemarycove::soak
