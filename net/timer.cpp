#include "net/timer.h"

#include <libwebsockets.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace sequoiapier {

struct Timer::Entry
{
    lws_sorted_usec_list_t list{};
    std::function<void()> callback;
    Loop *loop = nullptr;
    std::optional<DueTimes::Handle> due; // set while the timer is running

    void setDue(std::optional<TimePoint> time)
    {
        if (due)
            loop->dueTimes().remove(*due);
        due = time ? std::optional(loop->dueTimes().add(*time)) : std::nullopt;
    }

    static void fire(lws_sorted_usec_list_t *list)
    {
        // `list` is the first member of a standard-layout prefix of Entry.
        auto *entry = reinterpret_cast<Entry *>(list);
        entry->setDue(std::nullopt);
        const auto callback = entry->callback; // the callback may destroy its timer
        callback();
    }
};

Timer::Timer(Loop &loop, std::function<void()> callback)
    : m_loop(loop)
    , m_entry(std::make_unique<Entry>())
{
    m_entry->callback = std::move(callback);
    m_entry->loop = &loop;
}

Timer::~Timer()
{
    cancel();
}

void Timer::startAt(TimePoint deadline)
{
    const auto delay = std::max<Duration>(deadline - BootClock::now(), Duration(1));
    m_entry->setDue(deadline);
    lws_sul_schedule(m_loop.context(), 0, &m_entry->list, &Entry::fire, delay.count());
}

void Timer::cancel()
{
    lws_sul_cancel(&m_entry->list);
    m_entry->setDue(std::nullopt);
}

} // namespace sequoiapier
