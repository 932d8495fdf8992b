// Stand-ins for the users' platform on loopback: the store, runners, the recommendation service and
// clients. They follow PROTOCOL.md. Each connection has a thread; the numbers are small.
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace sim {

using nlohmann::json;

// Milliseconds since the start of this program.
std::int64_t nowMs();
std::int64_t wallMs();
void sleepMs(std::int64_t ms);
// Sleeps until nowMs() reaches `at`.
void sleepUntil(std::int64_t at);

// Writes one line, with the time, to record.txt.
void openRecord(const std::string &path);
void record(const std::string &line);

struct Request
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    int socket = -1;
    bool isPeerGone() const;
};

struct Response
{
    int status = 200;
    std::string body;
    // No answer: the connection stays open until the caller closes it.
    bool isSilent = false;
};

// Serves HTTP/1.1 on 127.0.0.1. stop() resets all connections; start() listens on the same port.
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;
    explicit Server(Handler handler);
    ~Server();
    void start();
    void stop();
    int port() const { return m_port; }

private:
    void acceptLoop(int listener);
    void serve(int socket);

    Handler m_handler;
    int m_port = 0;
    int m_listener = -1;
    std::mutex m_mutex;
    std::set<int> m_sockets;
    std::atomic<int> m_threads{0};
    std::thread m_acceptor;
};

struct Answer
{
    int status = 0; // 0 if there was no answer
    std::string body;
};

Answer call(int port, const std::string &method, const std::string &path,
            const std::map<std::string, std::string> &headers, const std::string &body,
            int timeoutMs);
// A port that is free now.
int freePort();

// The platform's store: tables of rows, transactions and a feed of changes.
class Store
{
public:
    Store();
    int port() const { return m_server.port(); }
    // Writes a row as the operator or a runner does.
    void put(const std::string &table, const std::string &key, const json &value);
    void removeRow(const std::string &table, const std::string &key);
    // Decides about a transaction before it is carried out; by default it is carried out.
    enum class Fate { Normal, Refused503, LostApplied, LostLate };
    std::function<Fate(const json &transaction)> fate;
    std::int64_t lateMs = 3'000;

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value; // base64
        std::uint64_t version = 0;
    };
    struct Change
    {
        Key key;
        std::uint64_t version = 0;
        std::optional<std::string> value;
    };
    Response handle(const Request &request);
    Response transact(const json &body);
    Response get(const Request &request);
    Response feed(const Request &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::deque<Change> m_changes;
    std::uint64_t m_version = 1;
    Server m_server;
};

// What the judge reads: each run on a runner.
struct RunSpan
{
    std::string runner;
    std::string kind; // of the runner's life
    std::int64_t born = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string spec;
    std::int64_t beganAt = 0;
    std::int64_t endedAt = -1; // -1 while it works
    std::string how;
    std::uint64_t endNumber = 0;
    bool isNoted = false; // `last_seen` has reached its end
};

std::vector<RunSpan> spans();

// What the cases measure to see that a disruption stays inside the pages' limits.
struct LateCall
{
    std::int64_t sentAt = 0;
    std::int64_t doneAt = -1;
};
struct Outage
{
    std::string runner;
    std::int64_t from = 0;
    std::int64_t to = -1; // -1 while it lasts
};
std::vector<std::int64_t> orderTimes(); // of all orders to all runners
std::vector<LateCall> lateCalls();
std::vector<Outage> outages();

// A runner. The spec of a task is JSON; its field "ms" is the time that the task takes,
// and "lasting" says that it serves until it is stopped.
class Runner
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string kind = "a";
        std::string rack = "r1";
        int cpu = 8'000;
        int memory = 32'768;
        std::int64_t maxHoldMs = 10'000;
        std::int64_t heartbeatMs = 1'500;
        std::int64_t stopMs = 50;
        std::string machine; // "m-" and the id if empty
    };
    Runner(Store &store, Options options);
    ~Runner();
    // Registers in the store, then begins to serve.
    void start();
    // Ends as by a crash: all runs and all that it knows are gone, its connections are reset.
    void crash();
    const std::string &id() const { return m_options.id; }
    int port() const { return m_server.port(); }
    bool isUp();
    void setKind(const std::string &kind) { m_options.kind = kind; }
    // Returns after how many milliseconds the order is carried out without an answer; 0 for an
    // order that is carried out at once and answered.
    std::function<std::int64_t(const std::string &path, const json &order)> lateness;
    // Whether starts need a ticket of the recommendation service.
    bool needsTicket = false;
    std::function<bool(const std::string &step, const std::string &runner,
                       const std::string &ticket)>
        isTicketValid;

private:
    struct Active
    {
        std::size_t span = 0;
        std::string task;
        std::uint64_t run = 0;
        std::int64_t beganAt = 0;
        std::int64_t lastsMs = 0;
        bool isLasting = false;
        std::int64_t stopAt = -1;
        int cpu = 0;
    };
    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::size_t span = 0;
    };
    Response handle(const Request &request);
    Response order(const std::string &path, const json &body, bool isLate);
    Response startRun(const json &body, bool isLate);
    Response stopRun(const json &body);
    Response hold(const json &body);
    void advance(); // ends what is due; m_mutex is held
    void end(std::size_t index, const std::string &how);
    std::int64_t clock() const { return nowMs() - m_bornMs; }
    void takeLease(const json &body);
    void beat();
    void work();

    Store &m_store;
    Options m_options;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_isUp = false;
    bool m_isClosing = false;
    std::int64_t m_born = 0; // Unix
    std::int64_t m_bornMs = 0;
    std::int64_t m_sequence = 0;
    std::int64_t m_nextBeat = 0;
    std::int64_t m_lease = -1;
    std::uint64_t m_fence = 0;
    std::uint64_t m_endCount = 0;
    std::vector<Active> m_active;
    std::deque<End> m_ends;
    std::map<std::string, std::uint64_t> m_lowest; // runs up to this one are refused, by task
    Server m_server;
    std::thread m_worker;
};

// The recommendation service as one calling machine sees it: it answers one call after the other.
// A call whose caller has gone before its turn is skipped.
class Advice
{
public:
    Advice(std::int64_t decideMs, std::int64_t eachMs, std::int64_t validMs);
    int port() const { return m_server.port(); }
    static bool isValid(const std::string &step, const std::string &runner,
                        const std::string &ticket);

private:
    Response handle(const Request &request);

    std::int64_t m_decideMs;
    std::int64_t m_eachMs;
    std::int64_t m_validMs;
    std::mutex m_mutex;
    std::condition_variable m_turnOver;
    std::uint64_t m_nextNumber = 0;
    std::uint64_t m_turn = 0;
    std::set<std::uint64_t> m_skipped;
    Server m_server;
};

// One node of the system: `target/sequoiapier node` with a settings file.
class Node
{
public:
    struct Options
    {
        std::string name;
        std::string zone = "zone-a";
        std::string folder; // for the settings and the log
        int storePort = 0;
        int advicePort = 0;
        int cloudPort = 0;
        std::string command; // of the deploy file
    };
    explicit Node(Options options);
    ~Node();
    void start();
    void signal(int number);
    void kill(); // SIGKILL, and waits for the end
    bool isRunning();
    int front() const { return m_front; }
    int ready() const { return m_ready; }
    const std::string &name() const { return m_options.name; }
    std::string logPath() const;

private:
    Options m_options;
    int m_front = 0;
    int m_ready = 0;
    int m_peer = 0;
    int m_pid = -1;
};

bool waitReady(Node &node, std::int64_t timeoutMs);

// The body of an HTTP call of a client, recorded with its answer.
Answer clientCall(Node &node, const std::string &method, const std::string &path,
                  const std::string &body, const std::string &key, int deadlineMs = 3'000);

} // namespace sim
