// freePort: a TCP port of loopback that nobody listens on; 0 if none was found.
//
// Each process looks in a block of its own, so that tests can run at the same time.
#pragma once

#include <cstdint>

namespace sequoiapier {

std::uint16_t freePort();

} // namespace sequoiapier
