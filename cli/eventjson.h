// Events as JSON lines: the body of /events and what `timeline` reads.
#pragma once

#include "sequoiapier/event.h"
#include "sequoiapier/result.h"

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiapier {

// One JSON object a line, in the order given.
std::string toJsonLines(const std::deque<Event> &events);
std::string toJsonLine(const Event &event);

// RowMalformed, naming the line, if one of them is no event.
Result<std::vector<Event>> parseJsonLines(std::string_view text);

} // namespace sequoiapier
