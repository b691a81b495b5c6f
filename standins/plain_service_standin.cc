#include "standins/plain_service_standin.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace standins {

using nlohmann::json;

PlainServiceStandin::PlainServiceStandin(std::string name)
    : name(std::move(name)) {
  this->server->Get("/load", [](const httplib::Request& /*request*/,
                                httplib::Response& response) {
    response.set_content(json{{"running", 0}, {"age_ms", 0}}.dump(),
                         "application/json");
  });
  this->server->Post("/.*", [this](const httplib::Request& request,
                                   httplib::Response& response) {
    this->Handle(request, response);
  });
}

int PlainServiceStandin::Runs(const std::string& body) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->runs.find(body);
  return found == this->runs.end() ? 0 : found->second;
}

int PlainServiceStandin::TotalRuns() const {
  const std::lock_guard lock(this->mutex);
  int total = 0;
  for (const auto& [body, count] : this->runs) {
    total += count;
  }
  return total;
}

void PlainServiceStandin::Handle(const httplib::Request& request,
                                 httplib::Response& response) {
  const bool has_wrong_id = this->switches.Consume("wrong_id");
  response.set_header("X-Request-Id",
                      has_wrong_id ? "someone-else-1"
                                   : request.get_header_value("X-Request-Id"));
  if (this->switches.Consume("busy")) {
    response.status = 503;
    response.set_header("X-Ran", "no");
    return;
  }
  const double delay_ms = this->switches.Value("slow_ms", 0);
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(delay_ms));
  int run_count = 0;
  {
    const std::lock_guard lock(this->mutex);
    run_count = ++this->runs[request.body];
  }
  if (this->switches.Consume("lose_answer")) {
    StandinServer::CutConnection();
    return;
  }
  if (this->switches.Consume("error")) {
    response.status = 500;
  }
  response.set_content(
      json{{"service", this->name}, {"path", request.path}, {"runs", run_count}}
          .dump(),
      "application/json");
}

}  // namespace standins
