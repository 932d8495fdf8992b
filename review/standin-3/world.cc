#include "world.hh"

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace sim {

namespace {

constexpr const char *Key = "good-key";

std::string nodeCommand()
{
    std::ifstream file("deploy/system.toml");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("run = \""))
            return line.substr(7, line.rfind('"') - 7);
    }
    return "target/sequoiapier node";
}

} // namespace

bool isTroubled()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

World::World(const std::string &folder)
{
    signal(SIGPIPE, SIG_IGN);
    openRecord(folder + "/record.txt");
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        std::_Exit(2);
    m_folder = name;
    record(isTroubled() ? "with the disruption" : "without the disruption");
}

World::~World()
{
    stopAll();
}

void World::stopAll()
{
    m_nodes.clear();
    m_runners.clear();
}

void World::configure(const std::vector<Queue> &queues, int cap)
{
    json routes = json::array();
    json services = json::array();
    std::set<std::string> names;
    for (const Queue &queue : queues) {
        json route{{"name", "r" + queue.prefix},
                   {"host", "desk.example"},
                   {"prefix", queue.prefix},
                   {"kind", "non_idempotent"},
                   {"timeout_ms", 3'000},
                   {"slo_ms", 2'500},
                   {"priority", 0},
                   {"service", queue.service},
                   {"max_attempts", 3},
                   {"stretch", 2.2},
                   {"public", false}};
        route.update(queue.more);
        routes.push_back(route);
        if (names.insert(queue.service).second) {
            services.push_back({{"name", queue.service},
                                {"health_path", "/health"},
                                {"max_conns", 64},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"rejects_overload", true},
                                {"standby", false}});
        }
    }
    const json tenants{{{"name", "drivers"},
                        {"api_keys", {Key}},
                        {"priority", 1},
                        {"weight", 50},
                        {"cap", {{"cpu", cap}, {"mem_mb", 0}, {"gpu", 0}}}}};
    m_store.put("op", "config",
                {{"version", ++m_version},
                 {"routes", routes},
                 {"services", services},
                 {"limits", json::object()},
                 {"tenants", tenants}});
    record("operator: configuration " + std::to_string(m_version));
}

Runner &World::addRunner(const Runner::Options &options)
{
    auto runner = std::make_unique<Runner>(m_store, options);
    runner->start();
    const std::lock_guard lock(m_mutex);
    m_runners.push_back(std::move(runner));
    return *m_runners.back();
}

Runner &World::runner(const std::string &id)
{
    for (const auto &runner : m_runners) {
        if (runner->id() == id)
            return *runner;
    }
    giveUp("no runner " + id);
}

Node &World::addNode(const std::string &name, int advicePort)
{
    m_nodes.push_back(std::make_unique<Node>(Node::Options{.name = name,
                                                           .folder = m_folder,
                                                           .storePort = m_store.port(),
                                                           .advicePort = advicePort,
                                                           .command = nodeCommand()}));
    return *m_nodes.back();
}

Node &World::addNode(const std::string &name, int storePort, int cloudPort)
{
    m_nodes.push_back(std::make_unique<Node>(Node::Options{.name = name,
                                                           .folder = m_folder,
                                                           .storePort = storePort,
                                                           .cloudPort = cloudPort,
                                                           .command = nodeCommand()}));
    return *m_nodes.back();
}

void World::begin(const std::vector<Queue> &queues)
{
    for (const auto &node : m_nodes)
        node->start();
    for (const auto &node : m_nodes) {
        bool isReady = waitReady(*node, 5'000);
        // Another process may have taken one of the free ports meanwhile.
        for (int attempt = 0; attempt < 3 && !isReady; ++attempt) {
            if (!node->isRunning())
                node->start();
            isReady = waitReady(*node, 5'000);
        }
        if (!isReady)
            giveUp(node->name() + " doesn't become ready");
    }
    const std::int64_t until = nowMs() + 15'000;
    for (const Queue &queue : queues) {
        while (clientCall(*m_nodes.front(), "GET", queue.prefix, "", Key, 3'000).status != 200) {
            if (nowMs() >= until)
                giveUp("the queue " + queue.prefix + " isn't served");
            sleepMs(300);
        }
    }
    sleepMs(3'000); // Owners settle.
}

bool World::submit(const std::string &path, const std::string &id, const json &job)
{
    for (int attempt = 0; attempt < 6; ++attempt) {
        Node *node = nullptr;
        for (std::size_t i = 0; i < m_nodes.size() && node == nullptr; ++i) {
            Node &next = *m_nodes[(std::size_t(attempt) + i) % m_nodes.size()];
            node = next.isRunning() ? &next : nullptr;
        }
        if (node == nullptr)
            return false;
        const Answer answer = clientCall(*node, "POST", path + id, job.dump(), Key);
        if (answer.status / 100 == 2)
            return true;
        if (answer.status == 404 || answer.status == 400)
            return false;
        sleepMs(500);
    }
    return false;
}

void World::finish(bool isBroken, const std::string &why)
{
    record("verdict: " + std::string(isBroken ? "broken: " : "held: ") + why);
    for (const auto &node : m_nodes) {
        if (std::getenv("KEEP_LOGS") != nullptr)
            std::cout << node->logPath() << "\n";
    }
    stopAll();
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_folder);
    std::cout << (isBroken ? "broken: " : "held: ") << why << std::endl;
    std::_Exit(isBroken ? 1 : 0);
}

void World::giveUp(const std::string &why)
{
    record("the case could not run: " + why);
    stopAll();
    std::cout << "the case could not run: " << why << std::endl;
    std::_Exit(2);
}

std::string findTwice()
{
    const std::vector<RunSpan> all = spans();
    const auto name = [](const RunSpan &span) {
        return "run " + std::to_string(span.run) + " on " + span.runner + " (born "
            + std::to_string(span.born) + ")";
    };
    for (const RunSpan &first : all) {
        for (const RunSpan &second : all) {
            if (first.task != second.task || &first == &second || second.beganAt < first.beganAt
                || (second.beganAt == first.beganAt && &second < &first))
                continue;
            if (first.endedAt < 0 || second.beganAt < first.endedAt) {
                return first.task + ": " + name(second) + " begins while " + name(first)
                    + " works";
            }
            if (first.how == "done" && first.isNoted)
                return first.task + ": " + name(second) + " begins after " + name(first)
                    + " has ended done";
        }
    }
    return {};
}

json oneStep(int count, int ms, int cpu)
{
    return {{"spec", json{{"ms", ms}, {"cpu", cpu}}.dump()},
            {"steps", {{{"count", count}, {"cpu", cpu}, {"mem_mb", 256}, {"estimate_ms", ms}}}}};
}

} // namespace sim
