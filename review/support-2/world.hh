// A small stand-in of the users' platform for the cases in review/6 and later: row store, machines,
// runners, advice service and callers, each on a loopback address, and the project's own nodes as
// child processes. It follows PROTOCOL.md; one thread serves one connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace world {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point begin = Clock::now();

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin).count();
}
inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// record.txt: one line for each event, with the time since the start in milliseconds.
class Record
{
public:
    void open(const std::string &path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " " << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};
inline Record record;

// ---------------------------------------------------------------- HTTP

struct Request
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    int socket = -1;

    json parsed() const { return json::parse(body, nullptr, false); }
    // Whether the caller has closed its connection.
    bool isAbandoned() const
    {
        char byte = 0;
        return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
};

struct Response
{
    int status = 200; // 0: the connection is closed without an answer
    std::string body;
};

inline Response reply(int status, const json &body)
{
    return {status, body.dump()};
}

inline int openSocket(const std::string &address, int port, bool isListener)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(std::uint16_t(port));
    inet_pton(AF_INET, address.c_str(), &name.sin_addr);
    auto *generic = reinterpret_cast<sockaddr *>(&name);
    const bool isOk = isListener ? bind(fd, generic, sizeof name) == 0 && listen(fd, 512) == 0
                                 : connect(fd, generic, sizeof name) == 0;
    if (!isOk) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline int portOf(int fd)
{
    sockaddr_in name{};
    socklen_t length = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr *>(&name), &length);
    return ntohs(name.sin_port);
}

// A port below the range that the system uses for the near end of connections.
inline int freePort()
{
    static int next = 20'000 + int(getpid() * 37 % 11'000);
    for (;;) {
        next = next >= 32'000 ? 20'000 : next + 1;
        const int fd = openSocket("127.0.0.1", next, true);
        if (fd >= 0) {
            close(fd);
            return next;
        }
    }
}

inline std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += char(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

class Server
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit Server(Handler handler)
        : m_handler(std::move(handler))
        , m_fd(openSocket("127.0.0.1", 0, true))
        , m_port(portOf(m_fd))
    {
        std::thread([this] { accept(); }).detach();
    }
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        std::string buffer;
        char chunk[16384];
        for (;;) {
            std::size_t head = 0;
            while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
                const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
                if (n <= 0) {
                    close(fd);
                    return;
                }
                buffer.append(chunk, std::size_t(n));
            }
            Request request;
            request.socket = fd;
            std::istringstream lines(buffer.substr(0, head));
            std::string target;
            std::string line;
            lines >> request.method >> target;
            std::getline(lines, line);
            while (std::getline(lines, line)) {
                const std::size_t colon = line.find(':');
                if (colon == std::string::npos)
                    continue;
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                std::string value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                value.erase(value.find_last_not_of("\r ") + 1);
                request.headers[name] = value;
            }
            const auto length = request.headers.find("content-length");
            const std::size_t bodyBytes
                = length != request.headers.end() ? std::stoul(length->second) : 0;
            buffer.erase(0, head + 4);
            while (buffer.size() < bodyBytes) {
                const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
                if (n <= 0) {
                    close(fd);
                    return;
                }
                buffer.append(chunk, std::size_t(n));
            }
            request.body = buffer.substr(0, bodyBytes);
            buffer.erase(0, bodyBytes);
            const std::size_t mark = target.find('?');
            request.path = target.substr(0, mark);
            if (mark != std::string::npos) {
                std::istringstream pairs(target.substr(mark + 1));
                std::string pair;
                while (std::getline(pairs, pair, '&')) {
                    const std::size_t equals = pair.find('=');
                    request.query[pair.substr(0, equals)] = equals == std::string::npos
                        ? std::string()
                        : unescape(pair.substr(equals + 1));
                }
            }
            const Response response = m_handler(request);
            if (response.status == 0) {
                close(fd);
                return;
            }
            const std::string text = "HTTP/1.1 " + std::to_string(response.status)
                + " X\r\ncontent-type: application/json\r\ncontent-length: "
                + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
            if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) != ssize_t(text.size())) {
                close(fd);
                return;
            }
        }
    }

    Handler m_handler;
    int m_fd;
    int m_port;
};

struct Answer
{
    int status = 0; // 0: no answer
    std::string body;
};

inline Answer callHttp(int port, const std::string &method, const std::string &path,
                       const std::vector<std::pair<std::string, std::string>> &headers,
                       const std::string &body, std::int64_t timeoutMs)
{
    const int fd = openSocket("127.0.0.1", port, false);
    if (fd < 0)
        return {};
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "content-length: " + std::to_string(body.size()) + "\r\nconnection: close\r\n\r\n"
        + body;
    send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    const std::int64_t deadline = nowMs() + timeoutMs;
    std::string received;
    Answer answer;
    for (;;) {
        pollfd waiting{.fd = fd, .events = POLLIN, .revents = 0};
        const std::int64_t left = deadline - nowMs();
        if (left <= 0 || poll(&waiting, 1, int(left)) <= 0)
            break;
        char chunk[16384];
        const ssize_t n = recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0)
            break;
        received.append(chunk, std::size_t(n));
        const std::size_t head = received.find("\r\n\r\n");
        if (head == std::string::npos)
            continue;
        std::string lower = received.substr(0, head);
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        const std::size_t at = lower.find("content-length:");
        const std::size_t length = at == std::string::npos ? 0 : std::stoul(lower.substr(at + 15));
        if (received.size() < head + 4 + length)
            continue;
        answer.status = std::stoi(received.substr(9, 3));
        answer.body = received.substr(head + 4, length);
        break;
    }
    close(fd);
    return answer;
}

// ---------------------------------------------------------------- base64

inline std::string encode64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? std::uint8_t(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j > bytes.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return out;
}

// ---------------------------------------------------------------- store

class Store
{
public:
    Store()
        : server([this](const Request &request) { return serve(request); })
    { }

    std::int64_t latencyMs = 4;

    // Writes a row as the operator or a runner does; removes it if `text` is empty.
    void put(const std::string &table, const std::string &key, const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        write({table, "", key}, text.empty() ? std::nullopt : std::optional(encode64(text)),
              ++m_version);
        m_changed.notify_all();
    }

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::optional<std::string> value; // base64
        std::uint64_t version = 0;
    };

    static Key keyOf(const json &entry)
    {
        return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
    }
    void write(const Key &key, std::optional<std::string> value, std::uint64_t version)
    {
        m_rows[key] = {std::move(value), version};
    }
    static json toJson(const Key &key, const Row &row)
    {
        json entry{{"table", std::get<0>(key)},
                   {"part", std::get<1>(key)},
                   {"key", std::get<2>(key)},
                   {"ver", row.version}};
        if (row.value)
            entry["value"] = *row.value;
        else
            entry["deleted"] = true;
        return entry;
    }

    Response serve(const Request &request)
    {
        sleepMs(latencyMs);
        if (request.path == "/v1/rows-tx")
            return commit(request.parsed());
        if (request.path == "/v1/rows-get")
            return get(request);
        if (request.path == "/v1/rows-feed")
            return feed(request);
        return {404, "{}"};
    }

    Response commit(const json &body)
    {
        const std::lock_guard lock(m_mutex);
        bool isConflict = false;
        json current = json::array();
        for (const json &entry : body.value("expect_rev", json::array())) {
            const Key key = keyOf(entry);
            const auto found = m_rows.find(key);
            const bool exists = found != m_rows.end() && found->second.value;
            if ((exists ? found->second.version : 0) != entry.value("ver", std::uint64_t(0)))
                isConflict = true;
            if (exists)
                current.push_back(toJson(key, found->second));
        }
        if (isConflict)
            return reply(412, {{"rows", current}, {"ver", m_version}, {"now_ms", nowMs()}});
        ++m_version;
        for (const json &entry : body.value("writes", json::array()))
            write(keyOf(entry), entry.value("value", ""), m_version);
        for (const json &entry : body.value("remove", json::array()))
            write(keyOf(entry), std::nullopt, m_version);
        m_changed.notify_all();
        return reply(200, {{"ver", m_version}, {"now_ms", nowMs()}});
    }

    Response get(const Request &request)
    {
        const auto query = [&](const char *name) {
            const auto found = request.query.find(name);
            return found != request.query.end() ? found->second : std::string();
        };
        const std::lock_guard lock(m_mutex);
        const std::string limit = query("page_limit");
        const std::size_t most = limit.empty() ? 500 : std::min(std::stoul(limit), 500UL);
        json rows = json::array();
        bool hasMore = false;
        const std::string table = query("table");
        const std::string part = query("part");
        const std::string to = query("to");
        for (auto next = m_rows.lower_bound({table, part, query("from")}); next != m_rows.end();
             ++next) {
            const auto &[t, p, k] = next->first;
            if (t != table || p != part || (!to.empty() && k >= to))
                break;
            if (!next->second.value)
                continue;
            if (rows.size() == most) {
                hasMore = true;
                break;
            }
            rows.push_back(toJson(next->first, next->second));
        }
        return reply(200, {{"rows", rows}, {"has_more", hasMore}, {"ver", m_version},
                           {"now_ms", nowMs()}});
    }

    Response feed(const Request &request)
    {
        const std::string table = request.query.at("table");
        const std::uint64_t after = std::stoull(request.query.at("after"));
        const auto wait = request.query.find("wait_ms");
        const auto until = Clock::now()
            + std::chrono::milliseconds(wait != request.query.end() ? std::stol(wait->second) : 0);
        std::unique_lock lock(m_mutex);
        for (;;) {
            std::vector<std::pair<std::uint64_t, json>> changes;
            for (const auto &[key, row] : m_rows) {
                if (std::get<0>(key) == table && row.version > after)
                    changes.emplace_back(row.version, toJson(key, row));
            }
            if (!changes.empty() || Clock::now() >= until) {
                std::sort(changes.begin(), changes.end(),
                          [](const auto &a, const auto &b) { return a.first < b.first; });
                json rows = json::array();
                for (const auto &[version, row] : changes)
                    rows.push_back(row);
                return reply(200, {{"rows", rows}, {"ver", m_version}, {"now_ms", nowMs()}});
            }
            m_changed.wait_until(lock, until);
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;

public:
    Server server; // Last, since it begins to serve at once.
};

// ---------------------------------------------------------------- advice

// Answers decide_ms + each_ms for each runner after a call's turn has come, one call at a time for
// each calling machine. All callers of a case are told apart by `machineOf`.
class AdviceService
{
public:
    AdviceService(std::int64_t decide, std::int64_t each, std::int64_t valid)
        : decideMs(decide)
        , eachMs(each)
        , validMs(valid)
    { }

    const std::int64_t decideMs;
    const std::int64_t eachMs;
    const std::int64_t validMs;
    std::atomic<int> answered{0};
    std::atomic<int> abandoned{0};

    bool isValid(const std::string &step, const std::string &runner, const std::string &ticket)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_tickets.find(step + "/" + runner + "/" + ticket);
        return found != m_tickets.end() && nowMs() < found->second;
    }
    // Address at which the machine reaches the service. Machines are told apart by it, since all of
    // them have one IP address here.
    std::string addressFor(const std::string &machine)
    {
        std::unique_ptr<Server> &server = m_servers[machine];
        if (!server) {
            server = std::make_unique<Server>(
                [this, machine](const Request &request) { return serve(machine, request); });
        }
        return server->address();
    }

private:
    struct Turns
    {
        std::deque<std::uint64_t> waiting; // The first one is being handled.
    };

    Response serve(const std::string &machine, const Request &request)
    {
        const json body = request.parsed();
        if (request.path != "/v1/advise" || !body.is_object())
            return {400, "{}"};
        const std::string step = body.value("step", "");
        const std::int64_t arrivedAt = nowMs();
        std::unique_lock lock(m_mutex);
        Turns &turns = m_turns[machine];
        if (turns.waiting.size() > 32)
            return {429, "{}"};
        const std::uint64_t self = ++m_count;
        turns.waiting.push_back(self);
        m_changed.wait(lock, [&] { return turns.waiting.front() == self; });
        // A call whose caller has gone is dropped when its turn comes.
        const bool isDropped = request.isAbandoned();
        const std::int64_t beganAt = nowMs();
        lock.unlock();
        if (!isDropped)
            sleepMs(decideMs + eachMs * std::int64_t(body["workers"].size()));
        lock.lock();
        turns.waiting.pop_front();
        m_changed.notify_all();
        const bool isLate = isDropped || request.isAbandoned();
        ++(isLate ? abandoned : answered);
        record.line("advise from " + machine + " for " + step + ", "
                    + std::to_string(body["workers"].size()) + " runners: waited "
                    + std::to_string(beganAt - arrivedAt) + " ms, "
                    + (isDropped        ? "its caller had gone before its turn"
                           : isLate     ? "its caller had gone before the answer"
                                        : "answered after "
                                   + std::to_string(nowMs() - arrivedAt) + " ms"));
        if (isLate)
            return {0, ""};
        json approved = json::array();
        for (const json &runner : body["workers"]) {
            const std::string ticket = "t" + std::to_string(++m_count);
            m_tickets[step + "/" + runner.get<std::string>() + "/" + ticket] = nowMs() + validMs;
            approved.push_back({runner, ticket});
        }
        return reply(200, {{"approved", approved}, {"valid_ms", validMs}});
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Turns> m_turns;
    std::map<std::string, std::int64_t> m_tickets; // by step, runner and ticket: valid until
    std::uint64_t m_count = 0;
    std::map<std::string, std::unique_ptr<Server>> m_servers;
};

// ---------------------------------------------------------------- runners and machines

struct Run
{
    std::string task; // ID.K.STEP.INDEX
    std::uint64_t number = 0;
    std::int64_t beganAt = 0;
    std::int64_t endsAt = 0; // by itself, done; a task that lasts has none
    std::int64_t stopsAt = 0; // 0 unless it is being stopped
};

struct End
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    bool hasLapsed = false; // the lease has lapsed since
};

// A hold that a crash has left without an answer.
struct LateHold
{
    std::int64_t arrivedAt = 0;
    json body;
};

struct World;

class Runner
{
public:
    Runner(World &world, std::string id, std::string machine, std::string service,
           std::string rack, std::vector<std::string> labels);

    json entry();
    void advance();
    // Loses all that it knows, as a crash does.
    void crash(const char *why);
    // Begins another life after crash(): its clock and the time of its start are new.
    void startAgain();
    // Carries out the holds that the last crash left without an answer, from `earliest` to `latest`
    // ms after both their arrival and the crash: once the runner has an end that no answer has told
    // yet, and at the latest at the end of that time. Returns whether none is left.
    bool carryOutLateHolds(std::int64_t earliest, std::int64_t latest);

    // Whether the end of the run was taken note of: `last_seen` has reached it, and the lease had not
    // lapsed since.
    bool isNoted(const std::string &task, std::uint64_t run)
    {
        const std::lock_guard lock(m_mutex);
        return m_noted.contains({task, run});
    }
    // Its machine is lost: runs nothing, and calls get no answer and no reset.
    void loseDark();

    // Whether a hold waits here for an end.
    bool hasOpenHold()
    {
        const std::lock_guard lock(m_mutex);
        return !m_openHolds.empty();
    }

    const std::string id;
    const std::string machine;
    std::string service;
    std::string rack;
    std::vector<std::string> labels;
    std::int64_t maxLeaseMs = 10'000;
    std::int64_t stopMs = 150;
    std::atomic<bool> isGone{false}; // answers nothing and runs nothing
    std::atomic<bool> isDark{false}; // if gone: calls hang
    bool isAdvised = false; // starts need a ticket
    bool keepsLateHolds = false; // holds that a crash leaves unanswered may be carried out later
    std::int64_t bornAt = 0;

private:
    Response serve(const Request &request);
    Response start(const json &body);
    Response stop(const json &body);
    Response hold(const json &body);
    Response leave();
    bool isFenced(const json &body);
    void takeLease(const json &body);
    std::string forgetEnds(std::uint64_t seen);
    void end(const Run &run, const char *how);
    std::int64_t clock() const { return nowMs() - m_clockZero; }

    World &m_world;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_fence = 0;
    std::int64_t m_until = 0;
    std::int64_t m_clockZero = 0;
    std::vector<Run> m_runs;
    std::deque<End> m_ends;
    std::uint64_t m_endCount = 0;
    std::map<std::string, std::uint64_t> m_highest; // highest run that was stopped or has ended
    std::uint64_t m_holdCount = 0;
    std::map<std::uint64_t, LateHold> m_openHolds; // calls that wait for an end
    std::vector<LateHold> m_lateHolds;
    std::int64_t m_crashedAt = 0;
    std::set<std::pair<std::string, std::uint64_t>> m_noted; // task and run; of all lives
    std::uint64_t m_toldEnds = 0; // number of the last end that an answer has listed

public:
    Server server;
};

struct Machine
{
    std::string name;
    std::string pool;
    std::string rack;
    std::shared_ptr<Runner> runner; // empty while it moves
    std::int64_t backAt = 0;
    std::string nextPool;
    std::set<std::uint64_t> waves;
    bool isDown = false; // lost for good
};

struct NodeProcess
{
    std::string name;
    int frontPort = 0;
    int readyPort = 0;
    int peerPort = 0;
    pid_t pid = -1;
};

// What ran: one entry a run, in order of the starts.
struct RunRecord
{
    std::string task;
    std::uint64_t number = 0;
    std::string runner;
    std::vector<std::string> labels;
    std::int64_t beganAt = 0;
    std::int64_t endedAt = 0; // 0 while it runs
    std::string how;
};

struct World
{
    World(std::string folderName, std::string program)
        : folder(std::move(folderName))
        , binary(std::move(program))
        , cloud([this](const Request &request) { return serveCloud(request); })
    {
        std::signal(SIGPIPE, SIG_IGN);
    }

    const std::string folder; // for settings and logs
    const std::string binary;
    Store store;
    std::unique_ptr<AdviceService> advice;
    std::recursive_mutex mutex;
    std::list<Machine> machines;
    std::list<std::shared_ptr<Runner>> runners; // those that are gone, too
    std::map<std::string, NodeProcess> nodes;
    std::vector<RunRecord> runs;
    std::int64_t moveMs = 1'500;
    std::int64_t heartbeatMs = 1'500;
    std::uint64_t sequence = 0;
    json bounds = json::object();
    std::atomic<bool> isOver{false};
    // Run time of a task; 0 for one that lasts.
    std::function<std::int64_t(const std::string &task)> runMs
        = [](const std::string &) { return std::int64_t(1'000); };
    std::function<bool(const Runner &runner)> isHeard = [](const Runner &) { return true; };

    void addMachines(const std::string &pool, int count, bool isAdvised, bool isOff)
    {
        const std::lock_guard lock(mutex);
        for (int i = 0; i < count; ++i) {
            Machine machine;
            machine.name = "m-" + pool + "-" + std::to_string(i);
            machine.pool = pool;
            machine.rack = "r-" + pool + "-" + std::to_string(i / 4);
            machines.push_back(machine);
            if (!isOff)
                startRunner(machines.back(), isAdvised);
            m_isAdvised[pool] = isAdvised;
            m_isOff[pool] = isOff;
        }
    }

    int liveRunners()
    {
        const std::lock_guard lock(mutex);
        return int(std::count_if(runners.begin(), runners.end(),
                                 [](const auto &runner) { return !runner->isGone; }));
    }

    void startRunner(Machine &machine, bool isAdvised)
    {
        auto runner = std::make_shared<Runner>(
            *this, "i-" + std::to_string(++m_runnerCount), machine.name, machine.pool, machine.rack,
            std::vector<std::string>{"a", machine.rack});
        runner->isAdvised = isAdvised;
        machine.runner = runner;
        runners.push_back(runner);
        heartbeat(*runner);
    }

    void heartbeat(Runner &runner)
    {
        if (!runner.isGone && isHeard(runner))
            store.put("servers", runner.id, runner.entry().dump());
    }

    // Heartbeats, ends of runs and machines that come back.
    void begin()
    {
        std::thread([this] {
            std::int64_t nextBeat = 0;
            while (!isOver) {
                {
                    const std::lock_guard lock(mutex);
                    // The store drops entries after three heartbeats of silence.
                    for (const Machine &machine : machines) {
                        if (machine.isDown && m_droppedAt.try_emplace(machine.runner->id, nowMs()
                                + 3 * heartbeatMs).first->second < nowMs()
                            && m_dropped.insert(machine.runner->id).second)
                            store.put("servers", machine.runner->id, "");
                    }
                    for (const auto &runner : runners)
                        runner->advance();
                    for (Machine &machine : machines) {
                        if (machine.backAt != 0 && nowMs() >= machine.backAt) {
                            machine.backAt = 0;
                            if (!machine.nextPool.empty())
                                machine.pool = std::exchange(machine.nextPool, {});
                            if (!m_isOff[machine.pool])
                                startRunner(machine, m_isAdvised[machine.pool]);
                        }
                    }
                    if (nowMs() >= nextBeat) {
                        nextBeat = nowMs() + heartbeatMs;
                        ++sequence;
                        for (const auto &runner : runners)
                            heartbeat(*runner);
                    }
                }
                sleepMs(10);
            }
        }).detach();
    }

    Response serveCloud(const Request &request)
    {
        sleepMs(4);
        const std::lock_guard lock(mutex);
        if (request.path == "/v1/machines") {
            json list = json::array();
            for (const Machine &machine : machines) {
                if (machine.isDown)
                    continue;
                const bool isOff = m_isOff[machine.pool];
                list.push_back({{"machine", machine.name},
                                {"pool", machine.pool},
                                {"state", machine.backAt != 0
                                     ? (machine.nextPool.empty() ? "upkeep" : "moving")
                                     : "up"},
                                {"zone", "zone-a"},
                                {"labels", {"a", machine.rack}},
                                {"capacity", {{"cpu", 64'000}, {"mem_mb", 262'144}, {"gpu", 0}}},
                                {"id", machine.runner && !isOff ? machine.runner->id : ""}});
            }
            return reply(200, {{"machines", list}, {"next_token", nullptr}});
        }
        const json body = request.parsed();
        for (Machine &machine : machines) {
            if (machine.name != body.value("machine", ""))
                continue;
            const bool isMove = request.path == "/v1/machine-move";
            const std::string pool = body.value("pool", "");
            const auto wave = body.value("wave", std::uint64_t(0));
            const bool isDone = isMove ? machine.pool == pool || machine.nextPool == pool
                                       : machine.waves.contains(wave);
            if (isDone)
                return reply(200, json::object());
            if (machine.backAt != 0)
                return reply(409, {{"reason", "busy"}});
            if (machine.runner) {
                machine.runner->crash("machine order");
                machine.runner->isGone = true;
                store.put("servers", machine.runner->id, "");
                machine.runner.reset();
            }
            machine.backAt = nowMs() + moveMs;
            if (isMove)
                machine.nextPool = pool;
            else
                machine.waves.insert(wave);
            record.line("machine " + machine.name + (isMove ? " moves to " + pool : " upkeep"));
            return reply(200, json::object());
        }
        return {400, "{}"};
    }

    // -------- nodes

    void writeSettings(const NodeProcess &node)
    {
        const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        json settings{{"node", node.name},
                      {"role", "node"},
                      {"machine_class", "front"},
                      {"serves", {"front"}},
                      {"ip", "127.0.0.1"},
                      {"zone", "zone-a"},
                      {"region", "region-a"},
                      {"zones", {{"zone-a", "region-a"}}},
                      {"listen", {{"front", at(node.frontPort)}, {"ready", at(node.readyPort)}}},
                      {"port_range", {node.peerPort, node.peerPort}},
                      {"seeds", json::array()},
                      {"bootstrap", true},
                      {"limits",
                       {{"cpu_share", 0.25},
                        {"cores", 1},
                        {"memory_mb", 260},
                        {"max_fds", 4'100},
                        {"link_mbps", 1'000.0},
                        {"disk_mb", 0}}},
                      {"data_dir", nullptr},
                      {"heartbeat_ms", heartbeatMs},
                      {"orders", "call"},
                      {"bounds", bounds},
                      {"platform",
                       {{"addr", store.server.address()},
                        {"form", "table"},
                        {"writes_per_s", 800},
                        {"reads_per_s", 2'000},
                        {"row_bytes", 65'536},
                        {"history_s", 20}}},
                      {"cloud",
                       {{"addr", cloud.address()}, {"rate_per_s", 64.0}, {"duty_per_s", 64.0}}}};
        if (advice)
            settings["recommendation"] = advice->addressFor(node.name);
        std::ofstream(folder + "/" + node.name + ".json") << settings.dump();
    }

    void startNode(const std::string &name)
    {
        NodeProcess &node = nodes[name];
        node.name = name;
        if (node.frontPort == 0) {
            node.frontPort = freePort();
            node.readyPort = freePort();
            node.peerPort = freePort();
        }
        writeSettings(node);
        const std::string file = folder + "/" + name + ".json";
        const std::string log = folder + "/" + name + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("SEQUOIAPIER_CONFIG", file.c_str(), 1);
            execl(binary.c_str(), binary.c_str(), "node", nullptr);
            _exit(127);
        }
        node.pid = pid;
        record.line("node " + name + " started");
    }

    void signalNode(const std::string &name, int signal, const char *what)
    {
        NodeProcess &node = nodes.at(name);
        if (node.pid <= 0)
            return;
        kill(node.pid, signal);
        record.line("node " + name + " " + what);
        if (signal == SIGKILL) {
            waitpid(node.pid, nullptr, 0);
            node.pid = -1;
        }
    }

    bool isReady(const std::string &name)
    {
        const NodeProcess &node = nodes.at(name);
        return callHttp(node.readyPort, "GET", "/v1/ready", {{"host", "127.0.0.1"}}, "", 500).status
            == 200;
    }

    bool waitReady(std::int64_t timeoutMs)
    {
        const std::int64_t until = nowMs() + timeoutMs;
        for (const auto &[name, node] : nodes) {
            while (node.pid > 0 && !isReady(name)) {
                if (nowMs() > until)
                    return false;
                sleepMs(50);
            }
        }
        return true;
    }

    // Name of the node whose log shows the latest acquisition of the resource.
    std::string ownerOf(const std::string &resource)
    {
        std::string owner;
        std::int64_t highest = -1;
        for (const auto &[name, node] : nodes) {
            std::ifstream log(folder + "/" + name + ".log");
            std::string line;
            while (std::getline(log, line)) {
                const json entry = json::parse(line, nullptr, false);
                if (!entry.is_object() || entry.value("event", "") != "resource.acquired"
                    || entry.value("resource", "") != resource)
                    continue;
                const std::int64_t epoch = std::stoll(entry.value("epoch", "0"));
                if (epoch > highest) {
                    highest = epoch;
                    owner = name;
                }
            }
        }
        return owner;
    }

    void killAll()
    {
        isOver = true;
        for (auto &[name, node] : nodes) {
            if (node.pid > 0) {
                kill(node.pid, SIGCONT);
                kill(node.pid, SIGKILL);
                waitpid(node.pid, nullptr, 0);
                node.pid = -1;
            }
        }
    }

    // -------- callers

    Answer call(const std::string &node, const std::string &method, const std::string &path,
                const std::string &key, const std::string &body = {},
                std::int64_t deadlineMs = 3'000)
    {
        std::vector<std::pair<std::string, std::string>> headers{
            {"host", "127.0.0.1"},
            {"content-type", "application/json"},
            {"deadline-ms", std::to_string(deadlineMs)}};
        if (!key.empty())
            headers.emplace_back("authorization", "Token " + key);
        const Answer answer
            = callHttp(nodes.at(node).frontPort, method, path, headers, body, deadlineMs);
        record.line(method + " " + path + " at " + node + " -> " + std::to_string(answer.status)
                    + " " + answer.body);
        return answer;
    }

    std::string stateOf(const std::string &node, const std::string &path, const std::string &key)
    {
        const Answer answer = call(node, "GET", path, key);
        const json body = json::parse(answer.body, nullptr, false);
        return answer.status == 200 && body.is_object() ? body.value("state", "?")
                                                        : std::to_string(answer.status);
    }

    std::map<std::string, std::int64_t> m_droppedAt;
    std::set<std::string> m_dropped;
    std::map<std::string, bool> m_isAdvised;
    std::map<std::string, bool> m_isOff;
    int m_runnerCount = 0;
    Server cloud;
};

inline Runner::Runner(World &world, std::string idText, std::string machineName,
                      std::string serviceName, std::string rackName,
                      std::vector<std::string> labelList)
    : id(std::move(idText))
    , machine(std::move(machineName))
    , service(std::move(serviceName))
    , rack(std::move(rackName))
    , labels(std::move(labelList))
    , bornAt(unixMs())
    , m_world(world)
    , m_clockZero(nowMs() - 400'000)
    , server([this](const Request &request) { return serve(request); })
{ }

inline json Runner::entry()
{
    return {{"service", service},
            {"addr", server.address()},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"machine", machine},
            {"capacity", {{"cpu", 64'000}, {"mem_mb", 262'144}, {"gpu", 0}}},
            {"labels", labels},
            {"born", bornAt},
            {"sequence", m_world.sequence}};
}

inline void Runner::end(const Run &run, const char *how)
{
    std::uint64_t &highest = m_highest[run.task];
    highest = std::max(highest, run.number);
    m_ends.push_back({++m_endCount, run.task, run.number, how});
    record.line("end " + run.task + " run " + std::to_string(run.number) + " on " + id + " " + how);
    const std::lock_guard lock(m_world.mutex);
    for (RunRecord &entry : m_world.runs) {
        if (entry.task == run.task && entry.number == run.number && entry.runner == id
            && entry.endedAt == 0) {
            entry.endedAt = nowMs();
            entry.how = how;
        }
    }
}

// Called with the world's mutex held or not; ends what is due.
inline void Runner::advance()
{
    const std::lock_guard worldLock(m_world.mutex);
    const std::lock_guard lock(m_mutex);
    const bool hasLapsed = clock() > m_until;
    for (End &end : m_ends)
        end.hasLapsed = end.hasLapsed || hasLapsed;
    std::vector<Run> rest;
    bool hasEnded = false;
    for (const Run &run : m_runs) {
        const char *how = nullptr;
        if (run.stopsAt != 0 && nowMs() >= run.stopsAt)
            how = "stopped";
        else if (hasLapsed)
            how = "lapsed";
        else if (run.endsAt != 0 && nowMs() >= run.endsAt)
            how = "done";
        if (how != nullptr) {
            end(run, how);
            hasEnded = true;
        } else {
            rest.push_back(run);
        }
    }
    m_runs = std::move(rest);
    if (hasEnded)
        m_changed.notify_all();
}

inline void Runner::crash(const char *why)
{
    const std::lock_guard worldLock(m_world.mutex);
    const std::lock_guard lock(m_mutex);
    for (const Run &run : m_runs)
        end(run, why);
    m_runs.clear();
    m_ends.clear();
    if (keepsLateHolds) {
        for (const auto &[number, call] : m_openHolds)
            m_lateHolds.push_back(call);
    }
    m_crashedAt = nowMs();
    m_endCount = 0;
    m_toldEnds = 0;
    m_highest.clear();
    m_fence = 0;
    m_until = 0;
    m_clockZero = nowMs();
    bornAt = unixMs();
    m_changed.notify_all();
}

inline void Runner::startAgain()
{
    const std::lock_guard lock(m_mutex);
    m_clockZero = nowMs();
    bornAt = unixMs();
}

// Forgets the ends up to `seen`; returns them as text.
inline std::string Runner::forgetEnds(std::uint64_t seen)
{
    std::string forgotten;
    while (!m_ends.empty() && m_ends.front().number <= seen) {
        const End &end = m_ends.front();
        forgotten += " " + std::to_string(end.number) + ":" + end.task;
        if (!end.hasLapsed)
            m_noted.insert({end.task, end.run});
        m_ends.pop_front();
    }
    return forgotten;
}

inline bool Runner::carryOutLateHolds(std::int64_t earliest, std::int64_t latest)
{
    const std::lock_guard lock(m_mutex);
    const std::int64_t now = nowMs();
    const bool hasUntold = !m_ends.empty() && m_ends.back().number > m_toldEnds;
    std::erase_if(m_lateHolds, [&](const LateHold &late) {
        constexpr std::int64_t Margin = 100; // A call must not be carried out after `latest`.
        if (now < m_crashedAt + earliest
            || (!hasUntold && now < late.arrivedAt + latest - Margin))
            return false;
        if (now > late.arrivedAt + latest) {
            record.line("a late hold is dropped on " + id);
            return true;
        }
        if (isFenced(late.body))
            return true;
        takeLease(late.body);
        const auto seen = late.body.value("last_seen", std::uint64_t(0));
        const std::string forgotten = forgetEnds(seen);
        record.line("late hold with last_seen " + std::to_string(seen) + " is carried out on " + id
                    + ", " + std::to_string(now - late.arrivedAt) + " ms after it was sent, "
                    + std::to_string(now - m_crashedAt) + " ms after the crash, told so far "
                    + std::to_string(m_toldEnds)
                    + ", ends forgotten:" + (forgotten.empty() ? " none" : forgotten));
        return true;
    });
    return m_lateHolds.empty();
}

inline void Runner::loseDark()
{
    isDark = true;
    isGone = true;
    crash("lost");
}

inline bool Runner::isFenced(const json &body)
{
    const auto fence = body.value("fence", std::uint64_t(0));
    if (fence < m_fence)
        return true;
    m_fence = fence;
    return false;
}

inline void Runner::takeLease(const json &body)
{
    if (body.contains("until_ms"))
        m_until = std::max(m_until,
                           std::min(body["until_ms"].get<std::int64_t>(), clock() + maxLeaseMs));
}

// A machine without power answers nothing; one whose process has ended resets connections.
inline Response Runner::leave()
{
    while (isDark && !m_world.isOver)
        sleepMs(50);
    return {0, ""};
}

inline Response Runner::serve(const Request &request)
{
    if (isGone)
        return leave();
    const json body = request.parsed();
    const auto expected = request.headers.find("expect-instance");
    if (expected == request.headers.end() || expected->second != id)
        return reply(421, json::object());
    if (request.path == "/v1/run-start")
        return start(body);
    if (request.path == "/v1/run-stop")
        return stop(body);
    if (request.path == "/v1/hold")
        return hold(body);
    return reply(request.path == "/v1/pace" ? 200 : 404, {{"clock_ms", clock()}});
}

inline Response Runner::start(const json &body)
{
    const std::string task = body.value("task", "");
    const auto number = body.value("run_id", std::uint64_t(0));
    const std::int64_t runMs = m_world.runMs(task);
    const std::lock_guard worldLock(m_world.mutex);
    const std::lock_guard lock(m_mutex);
    const auto refuse = [&](const char *reason) {
        record.line("start " + task + " run " + std::to_string(number) + " on " + id + " refused: "
                    + reason);
        return reply(409, {{"clock_ms", clock()}, {"reason", reason}});
    };
    if (isFenced(body))
        return refuse("fence");
    for (const Run &run : m_runs) {
        if (run.task == task && run.number == number)
            return reply(200, {{"clock_ms", clock()}});
    }
    if (number <= m_highest[task])
        return refuse("old");
    if (body.value("until_ms", std::int64_t(0)) <= clock())
        return refuse("late");
    if (isAdvised
        && (!m_world.advice
            || !m_world.advice->isValid(task.substr(0, task.rfind('.')), id,
                                        body.value("ticket", ""))))
        return refuse("ticket");
    takeLease(body);
    m_runs.push_back({.task = task,
                      .number = number,
                      .beganAt = nowMs(),
                      .endsAt = runMs > 0 ? nowMs() + runMs : 0});
    m_world.runs.push_back({task, number, id, labels, nowMs(), 0, ""});
    record.line("start " + task + " run " + std::to_string(number) + " on " + id + " fence "
                + std::to_string(m_fence));
    return reply(200, {{"clock_ms", clock()}});
}

inline Response Runner::stop(const json &body)
{
    const std::string task = body.value("task", "");
    const auto number = body.value("run_id", std::uint64_t(0));
    const std::lock_guard lock(m_mutex);
    if (isFenced(body))
        return reply(409, {{"clock_ms", clock()}, {"reason", "fence"}});
    std::uint64_t &highest = m_highest[task];
    highest = std::max(highest, number);
    for (Run &run : m_runs) {
        if (run.task == task && run.number <= number && run.stopsAt == 0)
            run.stopsAt = nowMs() + stopMs;
    }
    return reply(200, {{"clock_ms", clock()}});
}

inline Response Runner::hold(const json &body)
{
    std::unique_lock lock(m_mutex);
    if (isFenced(body))
        return reply(409, {{"clock_ms", clock()}, {"reason", "fence"}});
    takeLease(body);
    const auto seen = body.value("last_seen", std::uint64_t(0));
    forgetEnds(seen);
    const auto until
        = Clock::now() + std::chrono::milliseconds(body.value("wait_ms", std::int64_t(0)));
    const std::uint64_t self = ++m_holdCount;
    m_openHolds[self] = {nowMs(), body};
    m_changed.wait_until(lock, until, [&] { return isGone || !m_ends.empty(); });
    m_openHolds.erase(self);
    if (isGone) {
        lock.unlock();
        return leave();
    }
    json running = json::array();
    for (const Run &run : m_runs) {
        const std::int64_t age = nowMs() - run.beganAt;
        const std::int64_t percent = run.endsAt == 0
            ? (age > 300 ? 100 : 0)
            : std::clamp<std::int64_t>(100 * age / (run.endsAt - run.beganAt), 0, 100);
        running.push_back({run.task, run.number, "", percent, 0});
    }
    json ended = json::array();
    for (const End &end : m_ends) {
        if (ended.size() == 500)
            break;
        ended.push_back({end.number, end.task, end.run, end.how, ""});
        m_toldEnds = std::max(m_toldEnds, end.number);
    }
    return reply(200, {{"clock_ms", clock()}, {"born", bornAt}, {"running", running},
                       {"ended", ended}});
}

} // namespace world
