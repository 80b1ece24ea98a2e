#include "core/log.hpp"

#include "core/clock.hpp"
#include "core/line_ring.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <easylogging++.h>
#include <fmt/format.h>
#include <memory>
#include <mutex>
#include <thread>

INITIALIZE_EASYLOGGINGPP

namespace pomelohinge {
namespace {

/// Lines of one thread that wait for the writer.
constexpr std::size_t ring_lines = 1024;

/// The writer wakes for the first line and gathers others for so long.
constexpr auto gather_time = std::chrono::milliseconds(200);

/// A line that comes while the writer falls asleep waits so long at most.
constexpr auto longest_sleep = std::chrono::seconds(2);

/// How often dropped lines are reported.
constexpr duration drop_report_period = std::chrono::seconds(5);

std::atomic<log_level> minimum_level{log_level::warning};
std::array<std::atomic<std::uint64_t>, enum_count<log_event>> dropped{};
log_settings configured_log;

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Appends `text` as a JSON string.
void append_json_text(std::string& line, std::string_view text)
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
    log_event_row const& row, std::initializer_list<log_field> fields)
{
    auto line =
        fmt::format(R"({{"time_ms":{},"number":{},"event":"{}","level":"{}")",
            unix_milliseconds(), row.number, to_name(row.event),
            to_name(row.level));
    for (auto const& it : fields) {
        line += fmt::format(",\"{}\":", it.name);
        if (it.is_number)
            line += it.value;
        else
            append_json_text(line, it.value);
    }
    line += '}';
    return line;
}

std::string text_line(
    log_event_row const& row, std::initializer_list<log_field> fields)
{
    auto line = fmt::format("{} {} [{}] {}", unix_milliseconds(),
        to_name(row.level), row.number, to_name(row.event));
    for (auto const& it : fields)
        line += fmt::format(" {}={}", it.name, it.value);
    return line;
}

std::string make_line(
    log_event_row const& row, std::initializer_list<log_field> fields)
{
    return configured_log.format == log_format::json ? json_line(row, fields)
                                                     : text_line(row, fields);
}

/// What one thread may still log of each event.
class line_budget
{
public:
    bool take(log_event event, time_point now)
    {
        auto& it = events_[index_of(event)];
        auto const gained =
            to_seconds(now - it.at) * configured_log.lines_per_second;
        it.lines = std::min(it.lines + gained, configured_log.burst);
        it.at = now;
        if (it.lines < 1)
            return false;
        it.lines -= 1;
        return true;
    }

private:
    struct bucket
    {
        double lines = 0;
        time_point at{};
    };

    std::array<bucket, enum_count<log_event>> events_;
};

struct thread_lines
{
    line_ring ring{ring_lines};
    line_budget budget;
    std::atomic<bool> ended{false};
};

/// Takes lines out of all rings and writes them.
class line_writer
{
public:
    void start()
    {
        // A reader that is gone costs lines, not the process.
        std::signal(SIGPIPE, SIG_IGN);
        thread_ = std::thread([this] { run(); });
    }

    void stop()
    {
        {
            std::lock_guard const lock(mutex_);
            stopping_ = true;
        }
        wake_.notify_one();
        if (thread_.joinable())
            thread_.join();
    }

    std::shared_ptr<thread_lines> add_thread()
    {
        auto it = std::make_shared<thread_lines>();
        std::lock_guard const lock(mutex_);
        threads_.push_back(it);
        return it;
    }

    /// Called after each line; wakes the writer if it sleeps.
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
            // A notification may come before the wait; the time bounds what
            // that costs.
            wake_.wait_for(lock, longest_sleep, [this] {
                return stopping_ || pending_.load(std::memory_order_acquire);
            });
            if (!stopping_ && pending_.load(std::memory_order_acquire))
                wake_.wait_for(lock, gather_time, [this] { return stopping_; });
            pending_.store(false, std::memory_order_release);
            auto const threads = threads_;
            lock.unlock();
            write_lines(threads);
            lock.lock();
            std::erase_if(
                threads_, [](auto const& it) { return it->ended.load(); });
        }
        lock.unlock();
        write_lines(threads_);
    }

    void write_lines(std::vector<std::shared_ptr<thread_lines>> const& threads)
    {
        std::string text;
        for (auto const& it : threads)
            while (auto line = it->ring.pop()) {
                text += *line;
                text += '\n';
            }
        report_dropped(text);
        if (text.empty())
            return;
        text.pop_back();
        LOG(INFO) << text;
    }

    void report_dropped(std::string& text)
    {
        auto const now = boottime_clock::now();
        if (now - reported_at_ < drop_report_period)
            return;
        reported_at_ = now;
        for (auto const& row : log_catalogue) {
            auto const n = dropped[index_of(row.event)].load();
            auto& told = told_[index_of(row.event)];
            if (n == told)
                continue;
            text += make_line(catalogue_row(log_event::lines_dropped),
                {{"dropped", to_name(row.event)}, {"lines", n - told}});
            text += '\n';
            told = n;
        }
    }

    std::thread thread_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::atomic<bool> pending_{false};
    bool stopping_ = false;
    std::vector<std::shared_ptr<thread_lines>> threads_;
    std::array<std::uint64_t, enum_count<log_event>> told_{};
    time_point reported_at_{};
};

/// Never destroyed: threads may log until the very end.
line_writer& writer()
{
    static auto* const it = new line_writer();
    return *it;
}

thread_lines& own_lines()
{
    struct registered
    {
        std::shared_ptr<thread_lines> lines = writer().add_thread();
        ~registered() { lines->ended = true; }
    };
    thread_local registered it;
    return *it.lines;
}

void count_dropped(log_event event)
{
    dropped[index_of(event)].fetch_add(1, std::memory_order_relaxed);
}

} // namespace

void configure_log(log_settings configured)
{
    configured_log = configured;
    minimum_level = configured.level;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(settings);
    writer().start();
}

void set_log_level(log_level minimum)
{
    minimum_level = minimum;
}

void shutdown_log()
{
    writer().stop();
}

void log(log_event event, std::initializer_list<log_field> fields)
{
    auto const& row = catalogue_row(event);
    if (row.level < minimum_level.load(std::memory_order_relaxed))
        return;
    auto& mine = own_lines();
    bool const is_limited = row.level != log_level::error;
    if (is_limited && !mine.budget.take(event, boottime_clock::now()))
        return count_dropped(event);
    if (!mine.ring.push(make_line(row, fields)))
        return count_dropped(event);
    writer().line_added();
}

std::uint64_t dropped_lines(log_event event)
{
    return dropped[index_of(event)].load(std::memory_order_relaxed);
}

std::uint64_t dropped_lines()
{
    std::uint64_t sum = 0;
    for (auto const& it : dropped)
        sum += it.load(std::memory_order_relaxed);
    return sum;
}

} // namespace pomelohinge
