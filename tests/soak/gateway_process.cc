#include "tests/soak/gateway_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "platform/standins/raw_server.h"

namespace rosemarycove::soak {

namespace {

bool IsFree(int port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free =
      ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0;
  ::close(descriptor);
  return is_free;
}

// Returns the sum of the user and system times in a file of /proc.
std::chrono::milliseconds ProcessorTime(const std::filesystem::path& file) {
  constexpr int kFieldsBeforeTimes = 11;
  constexpr long kMillisecondsPerSecond = 1000;
  std::ifstream stat(file);
  std::string line;
  std::getline(stat, line);
  // The name of the program, in parentheses, may contain spaces.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  std::string ignored;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> ignored;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return std::chrono::milliseconds((user + system) * kMillisecondsPerSecond /
                                   ::sysconf(_SC_CLK_TCK));
}

}  // namespace

int FindFreePorts(int count) {
  constexpr int kFirst = 12000;
  constexpr int kRange = 18000;
  // Runs at the same time begin at different ports.
  constexpr int kStride = 331;
  const int start = ::getpid() * kStride % kRange;
  int run = 0;
  for (int i = 0; i < kRange; ++i) {
    const int offset = (start + i) % kRange;
    run = offset == 0 ? 0 : run;
    run = IsFree(kFirst + offset) ? run + 1 : 0;
    if (run == count) {
      return kFirst + offset - count + 1;
    }
  }
  return 0;
}

GatewayProcess::GatewayProcess(std::filesystem::path program_path,
                               std::filesystem::path work_folder,
                               std::string name, GatewayPorts listen_ports,
                               std::vector<std::string> settings)
    : program(std::move(program_path)),
      folder(std::move(work_folder)),
      instance(std::move(name)),
      ports(listen_ports),
      environment(std::move(settings)) {}

GatewayProcess::~GatewayProcess() {
  if (this->process != 0) {
    this->Signal(SIGKILL);
    this->Wait(std::chrono::seconds(5));
  }
}

std::string GatewayProcess::LogFile() const {
  return this->folder / (this->instance + ".log");
}

std::string GatewayProcess::SettingsFile() const {
  return this->folder / (this->instance + ".toml");
}

void GatewayProcess::WriteSettings(const std::string& store_address,
                                   const std::vector<int>& seed_ports,
                                   std::chrono::milliseconds grace) const {
  std::vector<std::string> seeds;
  seeds.reserve(seed_ports.size());
  for (const int port : seed_ports) {
    seeds.push_back(fmt::format("\"127.0.0.1:{}\"", port));
  }
  std::ofstream(this->SettingsFile()) << fmt::format(
      "node_name = \"{}\"\nzone = \"here\"\nseeds = [{}]\n"
      "port_range = [{}, {}]\n"
      "[listen]\nfront = \"127.0.0.1:{}\"\nready_addr = \"127.0.0.1:{}\"\n"
      "control_addr = \"127.0.0.1:{}\"\n[bounds]\ngrace_s = {}\n"
      "[platform]\naddress = \"{}\"\n",
      this->instance, fmt::join(seeds, ", "), this->ports.relay(),
      this->ports.relay() + 1, this->ports.callers(), this->ports.status(),
      this->ports.peers(), std::chrono::duration<double>(grace).count(),
      store_address);
}

bool GatewayProcess::Start() {
  // The new process may not allocate memory: other threads may hold locks.
  const std::string log_file = this->LogFile();
  const std::string settings_file = this->SettingsFile();
  const char* const path = this->program.c_str();
  std::vector<const char*> variables;
  for (const std::string& setting : this->environment) {
    variables.push_back(setting.c_str());
  }
  for (char** variable = environ; *variable != nullptr; ++variable) {
    variables.push_back(*variable);
  }
  variables.push_back(nullptr);
  this->process = ::fork();
  if (this->process == 0) {
    const int log =
        ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // Connections of this process would otherwise stay open in the new one.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execle(path, path, "gateway", "--config", settings_file.c_str(), nullptr,
             variables.data());
    ::_exit(127);
  }
  return this->process > 0;
}

void GatewayProcess::Signal(int number) const {
  if (this->process > 0) {
    ::kill(this->process, number);
  }
}

std::optional<int> GatewayProcess::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  do {
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) == this->process) {
      this->process = 0;
      return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  } while (std::chrono::steady_clock::now() < deadline);
  return std::nullopt;
}

bool GatewayProcess::IsReady() const {
  const auto connection =
      platform::RawConnection::Connect(this->ports.status());
  return connection &&
         connection->Send("GET /readyz HTTP/1.1\r\nHost: s\r\n\r\n") &&
         connection->ReadMessage().value_or("").starts_with("HTTP/1.1 200");
}

std::vector<std::string> GatewayProcess::LogLinesWith(
    const std::string& text) const {
  std::vector<std::string> lines;
  std::ifstream file(this->LogFile());
  for (std::string line; std::getline(file, line);) {
    if (line.find(text) != std::string::npos) {
      lines.push_back(line);
    }
  }
  return lines;
}

ProcessUsage GatewayProcess::Usage() const {
  const std::filesystem::path entry =
      fmt::format("/proc/{}", static_cast<int>(this->process));
  ProcessUsage usage;
  std::error_code error;
  for (auto item = std::filesystem::directory_iterator(entry / "fd", error);
       item != std::filesystem::directory_iterator(); item.increment(error)) {
    ++usage.descriptors;
  }
  std::ifstream status(entry / "status");
  constexpr int kKilobytes = 1024;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      usage.memory_mb =
          std::atoi(line.c_str() + line.find(':') + 1) / kKilobytes;
    }
  }
  usage.processor_time = ProcessorTime(entry / "stat");
  return usage;
}

}  // namespace rosemarycove::soak
