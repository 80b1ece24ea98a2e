#ifndef POMELOHINGE_SERVERS_SELECTION_PICKER_HPP
#define POMELOHINGE_SERVERS_SELECTION_PICKER_HPP

#include "core/clock.hpp"

#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace pomelohinge {

/// One target as a picker sees it.
struct candidate
{
    /// Work per slot as last heard; 1 is full.
    double load = 0;
    /// In the data centre of the entry VM.
    bool near = false;
    /// Already tried by this request, or known to take no work.
    bool barred = false;
};

/// Chooses among targets. Returns the position, or nothing if all are
/// barred.
template <class Picker, class Random>
concept TargetPicker = std::uniform_random_bit_generator<Random> && requires(
    Picker& picker, std::span<candidate const> candidates, Random& random)
{
    {
        picker.pick(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Takes the less loaded of two at random (Mitzenmacher, 2001), near ones
/// first until both drawn are loaded beyond the spill-over limit.
class power_of_two_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, Random& random)
    {
        collect(candidates, true);
        auto const near = pick_of(candidates, random);
        if (near && candidates[*near].load < spill_over_load)
            return near;
        collect(candidates, false);
        auto const far = pick_of(candidates, random);
        if (!near)
            return far;
        if (far &&
            candidates[*far].load + spill_over_cost < candidates[*near].load)
            return far;
        return near;
    }

private:
    /// Load at which targets in other data centres are considered, and how
    /// much less loaded one of them must be.
    static constexpr double spill_over_load = 0.8;
    static constexpr double spill_over_cost = 0.25;

    void collect(std::span<candidate const> candidates, bool near)
    {
        eligible_.clear();
        for (std::size_t it = 0; it < candidates.size(); ++it)
            if (candidates[it].near == near && !candidates[it].barred)
                eligible_.push_back(it);
    }

    template <class Random>
    std::optional<std::size_t> pick_of(
        std::span<candidate const> candidates, Random& random)
    {
        if (eligible_.empty())
            return std::nullopt;
        std::uniform_int_distribution<std::size_t> draw(
            0, eligible_.size() - 1);
        auto const first = eligible_[draw(random)];
        auto const second = eligible_[draw(random)];
        return candidates[second].load < candidates[first].load ? second
                                                                : first;
    }

    std::vector<std::size_t> eligible_;
};

/// Takes one after the other; the baseline that others are measured
/// against.
class round_robin_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, Random&)
    {
        for (std::size_t it = 0; it < candidates.size(); ++it) {
            auto const at = (next_ + it) % candidates.size();
            if (candidates[at].barred)
                continue;
            next_ = at + 1;
            return at;
        }
        return std::nullopt;
    }

private:
    std::size_t next_ = 0;
};

/// Takes the least loaded of all; a baseline.
class least_load_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, Random&)
    {
        std::optional<std::size_t> best;
        for (std::size_t it = 0; it < candidates.size(); ++it) {
            if (candidates[it].barred)
                continue;
            if (!best || candidates[it].load < candidates[*best].load)
                best = it;
        }
        return best;
    }
};

} // namespace pomelohinge

#endif
