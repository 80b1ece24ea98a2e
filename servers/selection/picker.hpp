#ifndef POMELOHINGE_SERVERS_SELECTION_PICKER_HPP
#define POMELOHINGE_SERVERS_SELECTION_PICKER_HPP

#include "core/clock.hpp"

#include <algorithm>
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
    /// Position among the targets of the service.
    std::size_t position = 0;
    /// Work per slot with one more request; 1 is full.
    double load = 0;
    /// In the data centre of the entry VM.
    bool near = false;
    /// Probability that it fails most requests now.
    double doubt = 0;
    /// An idle connection to it is open.
    bool connected = false;
};

/// What is known of the request that is to be placed.
struct picking
{
    /// A failure can be made good by another attempt.
    bool repeatable = false;
};

/// Chooses among targets that have room. Returns a position in `candidates`,
/// or nothing if there are none.
template <class Picker, class Random>
concept TargetPicker = std::uniform_random_bit_generator<Random> &&
    requires(Picker& picker, std::span<candidate const> candidates,
        picking what, Random& random)
{
    {
        picker.pick(candidates, what, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Takes the least loaded near target, and another data centre's only if no
/// near one has room. Doubt counts against a target as load does for a
/// request that cannot be repeated; one that can be rather goes where some
/// doubt is, so that it finds out what others would suffer from.
class doubt_and_load_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, picking what, Random& random)
    {
        std::optional<std::size_t> best;
        double best_cost = 0;
        for (std::size_t it = 0; it < candidates.size(); ++it) {
            auto const cost = cost_of(candidates[it], what, random);
            if (!best || cost < best_cost) {
                best = it;
                best_cost = cost;
            }
        }
        return best;
    }

private:
    /// More than any load and doubt, so that distance counts first.
    static constexpr double distance_cost = 10;
    /// What certain failure counts against load.
    static constexpr double doubt_cost = 3;
    /// Doubt that draws requests that may be repeated.
    static constexpr double doubt_worth_finding_out = 0.25;
    static constexpr double connect_cost = 0.05;
    /// Breaks ties, and keeps threads from choosing alike.
    static constexpr double noise = 0.08;

    template <class Random>
    static double cost_of(candidate const& it, picking what, Random& random)
    {
        std::uniform_real_distribution<double> draw(0, noise);
        bool const draws =
            what.repeatable && it.doubt < doubt_worth_finding_out;
        return it.load + (it.near ? 0 : distance_cost) +
            (draws ? -it.doubt : doubt_cost * it.doubt) +
            (it.connected ? 0 : connect_cost) + draw(random);
    }
};

/// Takes the less loaded of two at random (Mitzenmacher, 2001), near ones
/// first; what the picker above is measured against.
class power_of_two_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, picking, Random& random)
    {
        for (bool const near : {true, false}) {
            eligible_.clear();
            for (std::size_t it = 0; it < candidates.size(); ++it)
                if (candidates[it].near == near)
                    eligible_.push_back(it);
            if (!eligible_.empty())
                return pick_of(candidates, random);
        }
        return std::nullopt;
    }

private:
    template <class Random>
    std::size_t pick_of(std::span<candidate const> candidates, Random& random)
    {
        std::uniform_int_distribution<std::size_t> draw(
            0, eligible_.size() - 1);
        auto const first = eligible_[draw(random)];
        auto const second = eligible_[draw(random)];
        return candidates[second].load < candidates[first].load ? second
                                                                : first;
    }

    std::vector<std::size_t> eligible_;
};

/// Takes one after the other; a baseline.
class round_robin_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, picking, Random&)
    {
        if (candidates.empty())
            return std::nullopt;
        return next_++ % candidates.size();
    }

private:
    std::size_t next_ = 0;
};

} // namespace pomelohinge

#endif
