// Runs one stand-in until SIGTERM or SIGINT:
// standin engine|service|store --port N.
#include <pthread.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include "standins/engine_standin.h"
#include "standins/plain_service_standin.h"
#include "standins/store_standin.h"

int main(int argc, char** argv) {
  CLI::App app("Stand-ins for engines, plain services and the platform");
  std::string kind;
  int port = 0;
  std::string name = "standin";
  int token_time_us = 4000;
  int per_stream_us = 200;
  app.add_option("kind", kind, "engine, service or store")
      ->required()
      ->check(CLI::IsMember({"engine", "service", "store"}));
  app.add_option("--port", port, "Port on 127.0.0.1; 0 chooses a free one");
  app.add_option("--name", name, "Name in responses");
  app.add_option("--token-time-us", token_time_us,
                 "Engine: base time per token");
  app.add_option("--per-stream-us", per_stream_us,
                 "Engine: additional time per token for each running request");
  CLI11_PARSE(app, argc, argv);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  std::unique_ptr<standins::StandinServer> standin;
  if (kind == "engine") {
    standin = std::make_unique<standins::EngineStandin>(standins::EngineOptions{
        .name = name,
        .token_time_base = std::chrono::microseconds(token_time_us),
        .token_time_per_stream = std::chrono::microseconds(per_stream_us)});
  } else if (kind == "service") {
    standin = std::make_unique<standins::PlainServiceStandin>(name);
  } else {
    standin = std::make_unique<standins::StoreStandin>();
  }
  if (standin->Start(port) <= 0) {
    std::fprintf(stderr, "port %d can't be bound\n", port);
    return 1;
  }
  std::printf("%s listens on %s\n", name.c_str(), standin->address().c_str());
  std::fflush(stdout);
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}
