// A library that is loaded into a gateway's process. Its connections come from
// an address of its own, and go to other ports where its links are cut.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdlib>

#include "tests/soak/links.h"

namespace {

using rosemarycove::soak::kPortCount;
using rosemarycove::soak::PortTable;

const PortTable* MapTable() {
  const char* const file = std::getenv(rosemarycove::soak::kTableVariable);
  const int descriptor =
      file == nullptr ? -1 : ::open(file, O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return nullptr;
  }
  void* const memory = ::mmap(nullptr, kPortCount * sizeof(PortTable),
                              PROT_READ, MAP_SHARED, descriptor, 0);
  ::close(descriptor);
  return memory == MAP_FAILED ? nullptr : static_cast<PortTable*>(memory);
}

void BindSource(int descriptor) {
  const char* const source = std::getenv(rosemarycove::soak::kSourceVariable);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (source != nullptr &&
      ::inet_pton(AF_INET, source, &address.sin_addr) == 1) {
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on,
                 sizeof(on));
    // Fails harmlessly if the socket is bound.
    static_cast<void>(::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                             sizeof(address)));
  }
}

}  // namespace

// Replaces the function of the C library.
extern "C" int connect(int descriptor, const sockaddr* address,
                       socklen_t length) {
  static const PortTable* const table = MapTable();
  sockaddr_in target{};
  if (address->sa_family != AF_INET || length < sizeof(target) ||
      table == nullptr) {
    return static_cast<int>(
        ::syscall(SYS_connect, descriptor, address, length));
  }
  target = *reinterpret_cast<const sockaddr_in*>(address);
  const int port = table[ntohs(target.sin_port)];
  if (port != 0) {
    target.sin_port = htons(static_cast<std::uint16_t>(port));
  }
  BindSource(descriptor);
  return static_cast<int>(
      ::syscall(SYS_connect, descriptor, &target, sizeof(target)));
}
