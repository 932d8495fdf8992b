// freePort() returns a TCP port on loopback that no process listens on, or 0 if it found none.
// freePorts() returns several different ones; fewer than `count` if there are not enough.
//
// Each process searches a separate block of ports, so that tests can run in parallel. A request for
// many ports goes on to the blocks of other processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace sequoiapier {

std::uint16_t freePort();
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace sequoiapier
