#include "cli/eventjson.h"

#include "sequoiapier/boundedjson.h"

#include <nlohmann/json.hpp>

namespace sequoiapier {

std::string toJsonLine(const Event &event)
{
    const nlohmann::ordered_json json{{"time_us", event.time.wallMicroseconds},
                                      {"counter", event.time.counter},
                                      {"process", event.process},
                                      {"zone", event.zone},
                                      {"kind", event.kind},
                                      {"subject", event.subject},
                                      {"epoch", event.epoch},
                                      {"cause", event.cause},
                                      {"detail", event.detail}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string toJsonLines(const std::deque<Event> &events)
{
    std::string text;
    for (const Event &event : events)
        text += toJsonLine(event) + "\n";
    return text;
}

Result<std::vector<Event>> parseJsonLines(std::string_view text)
{
    std::vector<Event> events;
    for (std::size_t line = 1; !text.empty(); ++line) {
        const auto end = text.find('\n');
        const auto json = parseJson(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        try {
            events.push_back({.time = {json.at("time_us"), json.at("counter")},
                              .process = json.at("process"),
                              .zone = json.at("zone"),
                              .kind = json.at("kind"),
                              .subject = json.at("subject"),
                              .epoch = json.at("epoch"),
                              .cause = json.at("cause"),
                              .detail = json.at("detail")});
        } catch (const nlohmann::json::exception &exception) {
            return Error{ResultCode::RowMalformed,
                         "line " + std::to_string(line) + ": " + exception.what()};
        }
    }
    return events;
}

} // namespace sequoiapier
