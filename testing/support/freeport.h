// freePort() returns a TCP port on loopback that no process listens on, or 0 if it found none.
//
// Each process searches a separate block of ports, so that tests can run in parallel.
#pragma once

#include <cstdint>

namespace sequoiapier {

std::uint16_t freePort();

} // namespace sequoiapier
