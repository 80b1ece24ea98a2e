#ifndef POMELOHINGE_CORE_LINE_RING_HPP
#define POMELOHINGE_CORE_LINE_RING_HPP

#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelohinge {

/// Lock-free bounded queue of log lines (ring buffer) for one producer thread
/// and one consumer thread. No operation blocks.
class line_ring
{
public:
    explicit line_ring(std::size_t capacity) : lines_(capacity) {}

    /// Adds a line; returns false if the ring is full. Producer only.
    bool push(std::string line)
    {
        auto const end = added_.load(std::memory_order_relaxed);
        if (end - removed_.load(std::memory_order_acquire) == lines_.size())
            return false;
        lines_[end % lines_.size()] = std::move(line);
        added_.store(end + 1, std::memory_order_release);
        return true;
    }

    /// Removes the oldest line; empty if there is none. Consumer only.
    std::optional<std::string> pop()
    {
        auto const begin = removed_.load(std::memory_order_relaxed);
        if (begin == added_.load(std::memory_order_acquire))
            return std::nullopt;
        auto line = std::move(lines_[begin % lines_.size()]);
        removed_.store(begin + 1, std::memory_order_release);
        return line;
    }

private:
    std::vector<std::string> lines_;
    /// Total numbers of lines removed and added, not reduced modulo the
    /// capacity.
    std::atomic<std::size_t> removed_{0};
    std::atomic<std::size_t> added_{0};
};

} // namespace pomelohinge

#endif
