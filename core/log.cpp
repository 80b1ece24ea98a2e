#include "core/log.hpp"

#include "core/clock.hpp"
#include "core/line_ring.hpp"
#include "core/thread_role.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <easylogging++.h>
#include <fmt/format.h>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

INITIALIZE_EASYLOGGINGPP

namespace pomelohinge {
namespace {

/// Capacity of each thread's ring, in lines.
constexpr std::size_t ring_capacity = 1024;

/// Delay between the first pending line and the write. Lines added meanwhile
/// are written in the same batch.
constexpr auto batch_delay = std::chrono::milliseconds(200);

/// Maximum time for which the writer waits for a notification. It bounds the
/// delay of a line whose notification was sent just before the writer began to
/// wait.
constexpr auto max_wait = std::chrono::seconds(2);

/// Minimum time between two reports of dropped lines.
constexpr duration drop_report_period = std::chrono::seconds(5);

std::atomic<log_level> min_level{log_level::warning};
std::array<std::atomic<std::uint64_t>, enum_count<log_event>> dropped_counts{};
log_settings active_settings;

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Appends `text` as a quoted JSON string. Bytes outside printable ASCII are
/// written as Unicode escapes.
void append_json_string(std::string& line, std::string_view text)
{
    line += '"';
    for (char const it : text) {
        auto const code = static_cast<unsigned char>(it);
        if (it == '"' || it == '\\') {
            line += '\\';
            line += it;
        } else if (code < 0x20 || code >= 0x7f) {
            line += fmt::format("\\u{:04x}", static_cast<unsigned>(code));
        } else {
            line += it;
        }
    }
    line += '"';
}

std::string json_line(
    log_catalogue_entry const& entry, std::initializer_list<log_field> fields)
{
    auto line =
        fmt::format(R"({{"time_ms":{},"number":{},"event":"{}","level":"{}")",
            unix_milliseconds(), entry.number, to_name(entry.event),
            to_name(entry.level));
    for (auto const& it : fields) {
        line += fmt::format(",\"{}\":", it.name);
        if (it.is_number)
            line += it.value;
        else
            append_json_string(line, it.value);
    }
    line += '}';
    return line;
}

std::string text_line(
    log_catalogue_entry const& entry, std::initializer_list<log_field> fields)
{
    auto line = fmt::format("{} {} [{}] {}", unix_milliseconds(),
        to_name(entry.level), entry.number, to_name(entry.event));
    for (auto const& it : fields)
        line += fmt::format(" {}={}", it.name, it.value);
    return line;
}

std::string make_line(
    log_catalogue_entry const& entry, std::initializer_list<log_field> fields)
{
    return active_settings.format == log_format::json
        ? json_line(entry, fields)
        : text_line(entry, fields);
}

/// Limits the lines of one thread with one token bucket per event.
class line_rate_limiter
{
public:
    /// Takes a token for one line of `event`; returns false if there is none.
    bool take(log_event event, time_point now)
    {
        auto& it = buckets_[index_of(event)];
        auto const refill =
            to_seconds(now - it.refilled_at) * active_settings.lines_per_second;
        it.tokens = std::min(it.tokens + refill, active_settings.burst);
        it.refilled_at = now;
        if (it.tokens < 1)
            return false;
        it.tokens -= 1;
        return true;
    }

private:
    struct bucket
    {
        double tokens = 0;
        time_point refilled_at{};
    };

    std::array<bucket, enum_count<log_event>> buckets_;
};

/// The log lines of one thread that are not written yet.
struct thread_buffer
{
    line_ring ring{ring_capacity};
    line_rate_limiter limiter;
    /// Set when the thread ends; the writer then removes the buffer.
    std::atomic<bool> ended{false};
};

/// Runs a thread that writes the lines of all buffers to standard output.
class line_writer
{
public:
    void start()
    {
        // If the reader of standard output is closed, lines are lost, but the
        // process must not be terminated by SIGPIPE.
        std::signal(SIGPIPE, SIG_IGN);
        thread_ = std::thread([this] {
            set_thread_role(thread_role::log);
            run();
        });
    }

    /// Writes all pending lines and ends the thread. Returns false if it is
    /// still blocked in a write after `limit`.
    bool stop(std::chrono::milliseconds limit)
    {
        if (!thread_.joinable())
            return true;
        if (thread_.get_id() == std::this_thread::get_id())
            return false;
        std::unique_lock lock(mutex_);
        stopping_ = true;
        wake_.notify_one();
        bool const ended =
            ended_.wait_for(lock, limit, [this] { return has_ended_; });
        lock.unlock();
        if (ended)
            thread_.join();
        else
            thread_.detach();
        return ended;
    }

    /// Creates the buffer of the calling thread.
    std::shared_ptr<thread_buffer> add_buffer()
    {
        auto it = std::make_shared<thread_buffer>();
        std::lock_guard const lock(mutex_);
        buffers_.push_back(it);
        return it;
    }

    /// Must be called after each line is added; wakes the writer if needed.
    /// It takes no lock, so that logging never blocks the caller.
    void line_added()
    {
        if (!pending_.exchange(true, std::memory_order_acq_rel))
            wake_.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            // The notification is sent without the lock, so one that is sent
            // just before the wait is missed; the timeout bounds the delay.
            wake_.wait_for(lock, max_wait, [this] {
                return stopping_ || pending_.load(std::memory_order_acquire);
            });
            if (!stopping_ && pending_.load(std::memory_order_acquire))
                wake_.wait_for(lock, batch_delay, [this] { return stopping_; });
            pending_.store(false, std::memory_order_release);
            auto const buffers = buffers_;
            lock.unlock();
            write_lines(buffers);
            lock.lock();
            std::erase_if(
                buffers_, [](auto const& it) { return it->ended.load(); });
        }
        lock.unlock();
        write_lines(buffers_);
        lock.lock();
        has_ended_ = true;
        ended_.notify_one();
    }

    void write_lines(std::vector<std::shared_ptr<thread_buffer>> const& buffers)
    {
        std::string text;
        for (auto const& it : buffers)
            while (auto line = it->ring.pop()) {
                text += *line;
                text += '\n';
            }
        report_dropped_lines(text);
        if (text.empty())
            return;
        text.pop_back();
        // After a failed write the stream would write nothing more.
        std::cout.clear();
        LOG(INFO) << text;
    }

    void report_dropped_lines(std::string& text)
    {
        auto const now = boottime_clock::now();
        if (now - reported_at_ < drop_report_period)
            return;
        reported_at_ = now;
        for (auto const& entry : log_catalogue) {
            auto const count = dropped_counts[index_of(entry.event)].load();
            auto& reported = reported_counts_[index_of(entry.event)];
            if (count == reported)
                continue;
            text += make_line(catalogue_entry(log_event::lines_dropped),
                {{"dropped", to_name(entry.event)},
                    {"lines", count - reported}});
            text += '\n';
            reported = count;
        }
    }

    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::condition_variable ended_;
    std::atomic<bool> pending_{false};
    bool stopping_ = false;
    bool has_ended_ = false;
    std::vector<std::shared_ptr<thread_buffer>> buffers_;
    std::array<std::uint64_t, enum_count<log_event>> reported_counts_{};
    time_point reported_at_{};
};

/// The writer is never destroyed, because threads may log until the process
/// exits.
line_writer& writer()
{
    static auto* const it = new line_writer();
    return *it;
}

/// The buffer of the calling thread, created on first use.
thread_buffer& this_thread_buffer()
{
    struct registration
    {
        std::shared_ptr<thread_buffer> buffer = writer().add_buffer();
        ~registration() { buffer->ended = true; }
    };
    thread_local registration it;
    return *it.buffer;
}

void count_dropped(log_event event)
{
    dropped_counts[index_of(event)].fetch_add(1, std::memory_order_relaxed);
}

} // namespace

void configure_log(log_settings settings)
{
    active_settings = settings;
    min_level = settings.level;
    el::Configurations backend;
    backend.setToDefault();
    backend.setGlobally(el::ConfigurationType::ToFile, "false");
    backend.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    backend.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(backend);
    writer().start();
}

void set_log_level(log_level level)
{
    min_level = level;
}

bool shutdown_log(std::chrono::milliseconds limit)
{
    return writer().stop(limit);
}

void log(log_event event, std::initializer_list<log_field> fields)
{
    auto const& entry = catalogue_entry(event);
    if (entry.level < min_level.load(std::memory_order_relaxed))
        return;
    auto& buffer = this_thread_buffer();
    bool const is_limited = entry.level != log_level::error;
    if (is_limited && !buffer.limiter.take(event, boottime_clock::now()))
        return count_dropped(event);
    if (!buffer.ring.push(make_line(entry, fields)))
        return count_dropped(event);
    writer().line_added();
}

std::uint64_t dropped_lines(log_event event)
{
    return dropped_counts[index_of(event)].load(std::memory_order_relaxed);
}

std::uint64_t dropped_lines()
{
    std::uint64_t sum = 0;
    for (auto const& it : dropped_counts)
        sum += it.load(std::memory_order_relaxed);
    return sum;
}

} // namespace pomelohinge
