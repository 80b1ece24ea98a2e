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

/// A target that a picker may choose.
struct candidate
{
    /// Index among the eligible targets.
    std::size_t position = 0;
    /// Requests per slot if one more were sent; 1 is full.
    double load = 0;
    /// The target is in the data centre of this VM.
    bool local = false;
    /// Probability that the target currently fails most requests.
    double failure_probability = 0;
    /// An idle connection to the target is open.
    bool connected = false;
    /// Cost of a target in another data centre, in units of load.
    double distance_cost = 1;
};

/// The properties of the request for which a target is chosen.
struct pick_context
{
    /// A failed attempt can be repeated at another target.
    bool retryable = false;
};

/// Chooses among targets with free capacity. Returns an index into
/// `candidates`, or `nullopt` if there are none.
template <class Picker, class Random>
concept TargetPicker = std::uniform_random_bit_generator<Random> &&
    requires(Picker& picker, std::span<candidate const> candidates,
        pick_context context, Random& random)
{
    {
        picker.pick(candidates, context, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Chooses the target with the lowest cost, a sum of load and failure
/// probability. Targets of other data centres are chosen only if no local one
/// has capacity. For a retryable request, a failure probability below
/// `probe_threshold` lowers the cost instead: such requests probe the targets
/// that may be failing, so that fewer of the requests that cannot be retried
/// fail there.
class health_and_load_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(std::span<candidate const> candidates,
        pick_context context, Random& random)
    {
        std::optional<std::size_t> best;
        double best_cost = 0;
        for (std::size_t it = 0; it < candidates.size(); ++it) {
            auto const cost = cost_of(candidates[it], context, random);
            if (!best || cost < best_cost) {
                best = it;
                best_cost = cost;
            }
        }
        return best;
    }

private:
    /// Cost of certain failure, in units of load.
    static constexpr double failure_cost = 3.75;
    /// Failure probability below which it lowers the cost for a retryable
    /// request.
    static constexpr double probe_threshold = 0.25;
    /// Cost of opening a connection, in units of load.
    static constexpr double connect_cost = 0.05;
    /// Upper bound of a random cost that breaks ties and prevents threads from
    /// all choosing the same target.
    static constexpr double max_noise_cost = 0.08;

    template <class Random>
    static double cost_of(
        candidate const& it, pick_context context, Random& random)
    {
        std::uniform_real_distribution<double> draw(0, max_noise_cost);
        bool const probes =
            context.retryable && it.failure_probability < probe_threshold;
        return it.load + (it.local ? 0 : it.distance_cost) +
            (probes ? -it.failure_probability
                    : failure_cost * it.failure_probability) +
            (it.connected ? 0 : connect_cost) + draw(random);
    }
};

/// Chooses the less loaded of two random targets (Mitzenmacher, 2001), local
/// ones first. A baseline for comparisons with `health_and_load_picker`.
class power_of_two_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, pick_context, Random& random)
    {
        for (bool const local : {true, false}) {
            eligible_.clear();
            for (std::size_t it = 0; it < candidates.size(); ++it)
                if (candidates[it].local == local)
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

/// Chooses targets in turn. A baseline for comparisons.
class round_robin_picker
{
public:
    template <std::uniform_random_bit_generator Random>
    std::optional<std::size_t> pick(
        std::span<candidate const> candidates, pick_context, Random&)
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
