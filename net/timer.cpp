#include "net/timer.h"

#include <libwebsockets.h>

#include <algorithm>
#include <utility>

namespace sequoiapier {

struct Timer::Entry
{
    lws_sorted_usec_list_t list{};
    std::function<void()> callback;

    static void fire(lws_sorted_usec_list_t *list)
    {
        // `list` is the first member of a standard-layout prefix of Entry.
        auto *entry = reinterpret_cast<Entry *>(list);
        const auto callback = entry->callback; // the callback may destroy its timer
        callback();
    }
};

Timer::Timer(Loop &loop, std::function<void()> callback)
    : m_loop(loop)
    , m_entry(std::make_unique<Entry>())
{
    m_entry->callback = std::move(callback);
}

Timer::~Timer()
{
    cancel();
}

void Timer::startAt(TimePoint deadline)
{
    const auto delay = std::max<Duration>(deadline - BootClock::now(), Duration(1));
    lws_sul_schedule(m_loop.context(), 0, &m_entry->list, &Entry::fire, delay.count());
}

void Timer::cancel()
{
    lws_sul_cancel(&m_entry->list);
}

} // namespace sequoiapier
