#include "cli/blockingcall.h"
#include "cli/command.h"
#include "cli/eventjson.h"
#include "cli/settingsparser.h"
#include "net/endpoint.h"

#include <algorithm>
#include <iostream>

namespace sequoiapier {

namespace {

constexpr Duration FetchTimeout = std::chrono::seconds(2);

// Fetches the events of all processes in parallel and sorts them by time. A process that does not
// answer is named on standard error.
std::vector<Event> fetchEvents(const std::vector<Endpoint> &processes)
{
    BlockingCall call;
    std::vector<Event> events;
    std::size_t waiting = processes.size();
    call.run([&] {
        for (const Endpoint &process : processes) {
            HttpCall request{.address = process.address, .port = process.port};
            request.request = {.method = "GET", .path = "/events"};
            request.deadline = BootClock::now() + FetchTimeout;
            call.http().call(std::move(request), [&](const HttpAnswer &answer) {
                const auto parsed = parseJsonLines(answer.response.body);
                if (answer.outcome == HttpOutcome::Answered && parsed)
                    events.insert(events.end(), parsed.value().begin(), parsed.value().end());
                else
                    std::cerr << toString(process) << ": no events\n";
                if (--waiting == 0)
                    call.done();
            });
        }
        if (processes.empty())
            call.done();
    });
    std::stable_sort(events.begin(), events.end(),
                     [](const Event &a, const Event &b) { return a.time < b.time; });
    return events;
}

void printText(const std::vector<Event> &events)
{
    for (const Event &event : events) {
        std::cout << event.time.wallMicroseconds << "." << event.time.counter << "  "
                  << event.process << "  " << event.kind;
        if (!event.subject.empty())
            std::cout << "  " << event.subject;
        if (event.epoch != 0)
            std::cout << "  @" << event.epoch;
        if (!event.detail.empty())
            std::cout << "  " << event.detail;
        std::cout << "\n";
    }
}

} // namespace

int runTimeline(CommandArgs args)
{
    std::string processes;
    std::string format = "text";
    SettingsParser parser("timeline", "Merges the events of all processes.");
    parser.addText("processes", processes,
                   {.isRequired = true,
                    .isValid = [](std::string_view text) { return bool(parseEndpoints(text)); },
                    .expected = "IP-number:port,...",
                    .help = "Admin ports of the processes"});
    parser.addText("format", format, {.allowed = {"text", "json"}, .help = "Output format"});
    const Result<ParseAction> action = parser.parse(args, processEnvironment);
    if (!action) {
        std::cerr << action.error().detail << "\n";
        return int(ResultCode::InvalidSettings);
    }
    if (action.value() == ParseAction::Exit)
        return int(ResultCode::Ok);
    const std::vector<Event> events = fetchEvents(parseEndpoints(processes).value());
    if (format == "text") {
        printText(events);
    } else {
        for (const Event &event : events)
            std::cout << toJsonLine(event) << "\n";
    }
    return int(ResultCode::Ok);
}

} // namespace sequoiapier
