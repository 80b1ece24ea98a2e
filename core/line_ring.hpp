#ifndef POMELOHINGE_CORE_LINE_RING_HPP
#define POMELOHINGE_CORE_LINE_RING_HPP

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelohinge {

/// Lines on their way from one thread to one other. Neither side waits.
class line_ring
{
public:
    explicit line_ring(std::size_t capacity) : lines_(capacity) {}

    /// Adds a line; false if there is no room.
    bool push(std::string line)
    {
        auto const end = end_.load(std::memory_order_relaxed);
        if (end - begin_.load(std::memory_order_acquire) == lines_.size())
            return false;
        lines_[end % lines_.size()] = std::move(line);
        end_.store(end + 1, std::memory_order_release);
        return true;
    }

    /// Takes the oldest line.
    std::optional<std::string> pop()
    {
        auto const begin = begin_.load(std::memory_order_relaxed);
        if (begin == end_.load(std::memory_order_acquire))
            return std::nullopt;
        auto line = std::move(lines_[begin % lines_.size()]);
        begin_.store(begin + 1, std::memory_order_release);
        return line;
    }

private:
    std::vector<std::string> lines_;
    std::atomic<std::size_t> begin_{0};
    std::atomic<std::size_t> end_{0};
};

} // namespace pomelohinge

#endif
