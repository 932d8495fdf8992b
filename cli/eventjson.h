// Converts events to and from JSON lines, the body of /events that `timeline` reads.
#pragma once

#include "sequoiapier/event.h"
#include "sequoiapier/result.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

// Returns one JSON object per line, in the given order.
std::string toJsonLines(const std::deque<Event> &events);
std::string toJsonLine(const Event &event);

// Fails with RowMalformed and the line number if a line is not an event.
Result<std::vector<Event>> parseJsonLines(std::string_view text);

} // namespace sequoiapier
