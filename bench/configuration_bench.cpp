// Measures, under virtual time and for 2 to 64 members, the time until a version is in force, and
// the messages, bytes and table reads of the configuration followers. In the baseline every member
// reads the table once per poll interval. Bytes are those of the message fields and of the rows
// read, without codec and transport overhead.
#include "bench/support/report.h"
#include "bench/support/svgchart.h"
#include "testing/support/configurationgroup.h"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace {

using namespace sequoiapier;
using namespace std::chrono_literals;

constexpr std::size_t DocumentPadding = 4'000; // bytes, about the size of the present document
constexpr Duration Step = 1ms;
constexpr Duration Settling = 5s;
constexpr Duration Measured = 60s;
constexpr int Versions = 12; // one per 5 s

enum class Variant {
    EachPollsTable,
    Pull, // members pull from table readers and peers
    PushAndPull,
};

struct Figures
{
    double worstForceMs = 0;
    double meanForceMs = 0;
    double readsPerSecond = 0;
    double messagesPerSecond = 0; // per member
    double bytesPerSecond = 0; // per member, in messages
    double tableBytesPerSecond = 0; // per member, in rows read
    double cpuMicroseconds = 0; // per member and second
};

ConfigurationGroup::Options groupOptions(Variant variant, std::size_t members)
{
    ConfigurationGroup::Options options{.members = members, .padding = DocumentPadding};
    options.pushes = variant == Variant::PushAndPull;
    if (variant == Variant::EachPollsTable) {
        options.readers = members;
        options.follower.peersPerPoll = 0;
    }
    return options;
}

double millisecondsToForce(ConfigurationGroup &group)
{
    const TimePoint start = group.time().now();
    while (group.currentCount() < group.size() && group.time().now() - start < Settling)
        group.run(Step);
    return std::chrono::duration<double, std::milli>(group.time().now() - start).count();
}

Figures measure(Variant variant, std::size_t members)
{
    ConfigurationGroup group(groupOptions(variant, members));
    group.commitKeys({"key"});
    group.run(Settling);
    const std::uint64_t reads = group.table().readCount();
    const std::uint64_t messages = group.messages();
    const std::uint64_t bytes = group.bytes();
    const TimePoint start = group.time().now();
    const std::clock_t cpuStart = std::clock();
    Figures figures;
    for (int version = 0; version < Versions; ++version) {
        // Spreads the commits over different phases of the poll interval.
        group.run(Duration(37ms) * version);
        group.commitKeys({"key", "key-" + std::to_string(version)});
        const double force = millisecondsToForce(group);
        figures.worstForceMs = std::max(figures.worstForceMs, force);
        figures.meanForceMs += force / Versions;
        group.run(start + Measured * (version + 1) / Versions - group.time().now());
    }
    const double seconds = std::chrono::duration<double>(group.time().now() - start).count();
    const double memberSeconds = seconds * double(members);
    figures.readsPerSecond = double(group.table().readCount() - reads) / seconds;
    figures.messagesPerSecond = double(group.messages() - messages) / memberSeconds;
    figures.bytesPerSecond = double(group.bytes() - bytes) / memberSeconds;
    figures.tableBytesPerSecond
        = figures.readsPerSecond / double(members) * double(group.follower(0).document().size());
    figures.cpuMicroseconds
        = double(std::clock() - cpuStart) / CLOCKS_PER_SEC * 1e6 / memberSeconds;
    return figures;
}

std::string nameOf(Variant variant)
{
    switch (variant) {
    case Variant::EachPollsTable:
        return "each polls the table";
    case Variant::Pull:
        return "readers and peers";
    case Variant::PushAndPull:
        return "push, readers and peers";
    }
    return {};
}

} // namespace

int main(int argc, char **argv)
{
    Report report("configuration", argc, argv);
    std::vector<ChartSeries> force;
    std::vector<ChartSeries> reads;
    for (const Variant variant : {Variant::EachPollsTable, Variant::Pull, Variant::PushAndPull}) {
        force.push_back({nameOf(variant), {}});
        reads.push_back({nameOf(variant), {}});
        for (const std::size_t members : {2, 4, 8, 16, 32, 64}) {
            const Figures figures = measure(variant, members);
            report.add(nameOf(variant) + ", members=" + std::to_string(members),
                       {{"force_worst_ms", figures.worstForceMs},
                        {"force_mean_ms", figures.meanForceMs},
                        {"table_reads_per_s", figures.readsPerSecond},
                        {"messages_per_member_s", figures.messagesPerSecond},
                        {"bytes_per_member_s", figures.bytesPerSecond},
                        {"table_bytes_per_member_s", figures.tableBytesPerSecond},
                        {"cpu_us_per_member_s", figures.cpuMicroseconds}});
            force.back().points.push_back({double(members), figures.worstForceMs});
            reads.back().points.push_back({double(members), figures.readsPerSecond});
        }
    }
    writeSvgChart(report.outputPath("configuration-force.svg"),
                  {"Time to force a version", "members", "worst of 12 [ms]"}, force);
    writeSvgChart(report.outputPath("configuration-reads.svg"),
                  {"Table reads", "members", "reads a second"}, reads);
    return report.finish();
}
