#include "servers/requests/request_pipeline.hpp"

#include <algorithm>
#include <utility>

namespace pomelohinge {

void request_pipeline::add(
    bool repeatable, time_point now, start_callback start)
{
    auto const number = next_number();
    last_added_ = number;
    if (closed_)
        return;
    last_accepted_ = number;
    requests_.push_back(
        {number, repeatable, stage::waiting, now, 0, std::move(start)});
    start_waiting(now);
}

bool request_pipeline::may_start(std::size_t position) const
{
    if (running_ >= max_running || waiting_bytes_ > max_waiting_bytes)
        return false;
    if (!requests_[position].repeatable)
        return position == 0;
    return std::all_of(requests_.begin(),
        requests_.begin() + static_cast<std::ptrdiff_t>(position),
        [](auto const& it) { return it.repeatable; });
}

void request_pipeline::start_waiting(time_point now)
{
    for (;;) {
        auto const it = std::find_if(requests_.begin(), requests_.end(),
            [](auto const& entry) { return entry.at == stage::waiting; });
        if (it == requests_.end() ||
            !may_start(static_cast<std::size_t>(it - requests_.begin())))
            return;
        it->at = stage::running;
        ++running_;
        last_started_ = it->number;
        // The request may be answered before this call returns, which changes
        // the queue.
        auto const start = std::exchange(it->start, nullptr);
        start(now - it->added_at);
    }
}

void request_pipeline::answered(
    request_number number, std::size_t answer_bytes, time_point now)
{
    auto const it = std::find_if(requests_.begin(), requests_.end(),
        [&](auto const& entry) { return entry.number == number; });
    if (it == requests_.end() || it->at != stage::running)
        return;
    it->at = stage::answered;
    it->answer_bytes = answer_bytes;
    --running_;
    waiting_bytes_ += answer_bytes;
    while (!requests_.empty() && requests_.front().at == stage::answered) {
        waiting_bytes_ -= requests_.front().answer_bytes;
        requests_.pop_front();
    }
    start_waiting(now);
}

void request_pipeline::stop()
{
    closed_ = true;
    last_accepted_ = last_started_;
    std::erase_if(requests_,
        [](auto const& entry) { return entry.at == stage::waiting; });
}

} // namespace pomelohinge
