#include "tests/soak/soak_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "tests/soak/requests.h"

namespace rosemarycove::soak {
namespace {

using platform::HeaderValue;
using platform::RawConnection;
using std::chrono::milliseconds;

constexpr int kSlots = 6;
// It takes a few more than it has slots.
constexpr int kMostRunning = 10;

std::string Head(const std::string& message, const std::string& status,
                 const std::string& fields) {
  return fmt::format(
      "HTTP/1.1 {}\r\nRosemarycove-Request-Id: {}\r\n"
      "Rosemarycove-Server-Seal: seal\r\n{}\r\n",
      status, HeaderValue(message, "Rosemarycove-Request-Id"), fields);
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

}  // namespace

SoakServer::SoakServer(std::string name, std::string service_name,
                       std::uint64_t seed, const Links& all_links,
                       Promises& all_promises)
    : id(std::move(name)),
      service(std::move(service_name)),
      links(all_links),
      promises(all_promises),
      random(seed),
      server([this](RawConnection& connection) { this->Serve(connection); }) {}

SoakServer::~SoakServer() { this->is_stopping = true; }

std::string SoakServer::Entry(const std::string& state) const {
  return fmt::format(
      R"({{"service":"{}","address":"{}","zone":"here","version":"v1",)"
      R"("slots":{},"state":"{}","born":1,"cold_left_ms":0,"seq":1}})",
      this->service, this->server.address(), kSlots, state);
}

void SoakServer::ResetFrom(const std::string& address) {
  const std::lock_guard lock(this->mutex);
  for (const auto& [connection, source] : this->address_by_connection) {
    if (source == address) {
      connection->Shutdown();
    }
  }
}

void SoakServer::Serve(RawConnection& connection) {
  const std::string address = connection.PeerAddress();
  const InstanceLinks* const from = this->links.Find(address);
  {
    const std::lock_guard lock(this->mutex);
    this->address_by_connection[&connection] = address;
  }
  while (const auto message = connection.ReadMessage()) {
    if (!this->AwaitLink(from) || !this->Respond(connection, *message, from)) {
      break;
    }
  }
  const std::lock_guard lock(this->mutex);
  this->address_by_connection.erase(&connection);
}

bool SoakServer::Respond(RawConnection& connection, const std::string& message,
                         const InstanceLinks* from) {
  const std::string request = HeaderValue(message, "Rosemarycove-Request-Id");
  if (request.empty()) {
    return this->Send(connection, from,
                      "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  }
  const Kind kind = KindOf(message);
  const Plan plan = this->MakePlan(EventCount(request));
  if (plan.reaction == Reaction::kRefuses || this->running >= kMostRunning) {
    return this->Send(connection, from,
                      Head(message, "503 Full",
                           "Rosemarycove-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n"));
  }
  ++this->running;
  this->promises.OnRun(request, this->id, IsUnchanged(message));
  bool goes_on = this->Sleep(plan.delay);
  if (goes_on && IsStream(kind)) {
    goes_on = this->SendStream(connection, message, plan, from);
  } else if (goes_on && plan.reaction == Reaction::kResponds) {
    const std::string body = ResponseBody(request);
    goes_on =
        this->Send(connection, from,
                   Head(message, "200 OK",
                        fmt::format("Content-Length: {}\r\n", body.size())) +
                       body);
  } else {
    goes_on = false;
  }
  --this->running;
  if (!goes_on) {
    // Otherwise the gateway ended the connection.
    if (plan.reaction != Reaction::kResponds || this->is_stopping) {
      this->promises.OnBreakOff(request);
    }
    if (plan.reaction == Reaction::kResets) {
      connection.Reset();
    }
  }
  return goes_on;
}

bool SoakServer::SendStream(RawConnection& connection,
                            const std::string& message, const Plan& plan,
                            const InstanceLinks* from) {
  const std::string request = HeaderValue(message, "Rosemarycove-Request-Id");
  const std::string last = HeaderValue(message, "Last-Event-Id");
  if (!this->Send(connection, from,
                  Head(message, "200 OK",
                       "Content-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n"))) {
    return false;
  }
  for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= EventCount(request);
       ++i) {
    const std::string chunk = Chunk(EventBytes(request, i));
    if (plan.reaction != Reaction::kResponds && i >= plan.last_event) {
      // Ends within the event.
      this->Send(connection, from, chunk.substr(0, chunk.size() / 2));
      return false;
    }
    if (!this->Send(connection, from, chunk) || !this->Sleep(plan.event_gap)) {
      return false;
    }
  }
  return this->Send(connection, from, "0\r\n\r\n");
}

SoakServer::Plan SoakServer::MakePlan(int event_count) {
  constexpr int kFaultOneIn = 200;
  constexpr int kUsualMilliseconds = 20;
  constexpr int kSlowMilliseconds = 700;
  constexpr int kSlowOneIn = 20;
  const std::lock_guard lock(this->mutex);
  const int most =
      this->random.OneIn(kSlowOneIn) ? kSlowMilliseconds : kUsualMilliseconds;
  constexpr std::array kFaults{Reaction::kRefuses, Reaction::kCloses,
                               Reaction::kResets};
  const auto fault = static_cast<std::size_t>(this->random.Below(kFaultOneIn));
  return {.reaction =
              fault < kFaults.size() ? kFaults.at(fault) : Reaction::kResponds,
          .delay = this->random.Between(1, most),
          .event_gap = this->random.Between(1, most) / 4,
          .last_event = 1 + this->random.Below(event_count)};
}

bool SoakServer::Send(RawConnection& connection, const InstanceLinks* from,
                      const std::string& bytes) {
  while (!this->is_stopping && Clock::now() < this->silent_until.load()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return this->AwaitLink(from) && connection.Send(bytes);
}

bool SoakServer::AwaitLink(const InstanceLinks* from) {
  if (from == nullptr) {
    return !this->is_stopping;
  }
  while (!this->is_stopping && from->cut(this->port()) == Cut::kHang) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return !this->is_stopping && from->cut(this->port()) != Cut::kReset;
}

bool SoakServer::Sleep(milliseconds time) {
  const auto end = Clock::now() + time;
  while (!this->is_stopping && Clock::now() < end) {
    std::this_thread::sleep_for(std::min(
        milliseconds(20), std::chrono::ceil<milliseconds>(end - Clock::now())));
  }
  return !this->is_stopping;
}

}  // namespace rosemarycove::soak
