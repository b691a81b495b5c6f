#include "tests/soak/links.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

namespace rosemarycove::soak {
namespace {

constexpr std::size_t kTableBytes = kPortCount * sizeof(PortTable);

// Returns a bound socket; sets the port.
int BindSocket(int type, sockaddr_in& address) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | type, 0);
  address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(descriptor, generic, size) != 0 ||
      ::getsockname(descriptor, generic, &size) != 0) {
    std::perror("no port for the links");
    std::abort();
  }
  return descriptor;
}

}  // namespace

InstanceLinks::InstanceLinks(const std::filesystem::path& table_file,
                             int number, int port_that_hangs,
                             int port_that_refuses)
    : file(table_file),
      source(fmt::format("127.0.1.{}", number + 1)),
      hanging_port(port_that_hangs),
      closed_port(port_that_refuses) {
  const int descriptor =
      ::open(this->file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  void* memory = MAP_FAILED;
  if (::ftruncate(descriptor, kTableBytes) == 0) {
    memory = ::mmap(nullptr, kTableBytes, PROT_READ | PROT_WRITE, MAP_SHARED,
                    descriptor, 0);
  }
  ::close(descriptor);
  if (memory == MAP_FAILED) {
    std::perror("no table of the links");
    std::abort();
  }
  this->table = static_cast<PortTable*>(memory);
}

InstanceLinks::~InstanceLinks() { ::munmap(this->table, kTableBytes); }

void InstanceLinks::Set(Cut cut, const std::set<int>& server_ports) {
  for (const int port : this->cut_ports) {
    this->table[port] = 0;
  }
  this->cut_ports.clear();
  this->current = cut;
  for (const int port : server_ports) {
    this->Add(port);
  }
}

void InstanceLinks::Add(int server_port) {
  if (this->current != Cut::kNone) {
    const int other =
        this->current == Cut::kHang ? this->hanging_port : this->closed_port;
    this->table[server_port] = static_cast<std::uint16_t>(other);
    this->cut_ports.insert(server_port);
  }
}

Cut InstanceLinks::cut(int server_port) const {
  return this->table[server_port] == 0 ? Cut::kNone : this->current.load();
}

std::vector<std::string> InstanceLinks::Environment() const {
  return {fmt::format("LD_PRELOAD={}", SOAK_CONNECT_SHIM),
          fmt::format("{}={}", kTableVariable, this->file),
          fmt::format("{}={}", kSourceVariable, this->source)};
}

Links::Links(const std::filesystem::path& folder, int instance_count) {
  sockaddr_in address{};
  this->descriptors.push_back(BindSocket(0, address));
  this->closed_port = ntohs(address.sin_port);
  const int listener = BindSocket(0, address);
  this->descriptors.push_back(listener);
  this->hanging_port = ntohs(address.sin_port);
  ::listen(listener, 0);
  // With the queue full, the kernel drops further attempts to connect.
  constexpr int kMoreThanTheQueueHolds = 3;
  for (int i = 0; i < kMoreThanTheQueueHolds; ++i) {
    sockaddr_in own{};
    const int descriptor = BindSocket(SOCK_NONBLOCK, own);
    ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address));
    this->descriptors.push_back(descriptor);
  }
  for (int i = 0; i < instance_count; ++i) {
    this->instances.push_back(
        std::make_unique<InstanceLinks>(folder / fmt::format("g{}.links", i), i,
                                        this->hanging_port, this->closed_port));
  }
}

Links::~Links() {
  for (const int descriptor : this->descriptors) {
    ::close(descriptor);
  }
}

const InstanceLinks* Links::Find(const std::string& address) const {
  for (const auto& links : this->instances) {
    if (links->address() == address) {
      return links.get();
    }
  }
  return nullptr;
}

}  // namespace rosemarycove::soak
