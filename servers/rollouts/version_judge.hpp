#ifndef POMELOHINGE_SERVERS_ROLLOUTS_VERSION_JUDGE_HPP
#define POMELOHINGE_SERVERS_ROLLOUTS_VERSION_JUDGE_HPP

#include "core/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pomelohinge {

/// Judges a version by the outcomes of requests at its targets. Targets of a
/// good version fail too: about three in ten fail most requests for some
/// seconds. So each target is modelled as a Markov chain with two states, sound
/// and disturbed, which cannot be seen. Hypotheses differ in the share of bad
/// answers of a sound target, on all routes or on one. The evidence for a bad
/// version is the log likelihood ratio of its hypothesis to that of a good
/// version, summed over all targets. The sum has a lower bound (CUSUM), so that
/// a version that turns bad late is found almost as soon as one that is bad at
/// once.
class version_judge
{
public:
    version_judge();

    /// Adds outcomes of requests of a route at a target since the last call.
    void add(std::string const& route, std::string const& target,
        std::uint32_t bad, std::uint32_t total, time_point now);

    /// Whether the version is bad.
    bool is_bad() const;

    /// Whether there is evidence, not yet sufficient, that it is bad.
    bool is_suspicious() const;

    /// Whether the target is probably disturbed.
    bool is_disturbed(std::string const& target, time_point now) const;

    /// Requests that have ended, of all routes, of one, or at one target.
    std::uint64_t samples() const { return samples_; }
    std::uint64_t samples_of_route(std::string const& route) const;
    std::uint64_t samples_at(std::string const& target) const;
    std::uint64_t bad_answers() const { return bad_answers_; }
    double strongest_evidence() const;

private:
    struct hypothesis
    {
        /// Share of bad answers of a sound target, on the routes concerned.
        double bad_share = 0;
        bool all_routes = true;
        std::string route;
        /// Log likelihood ratio to the hypothesis of a good version.
        double evidence = 0;
        /// Bad answers of probably sound targets since the evidence was last
        /// the lowest.
        double bad_since_lowest = 0;
    };

    struct target_track
    {
        /// Probability, by hypothesis, that the target is disturbed.
        std::vector<double> disturbed;
        time_point updated_at{};
        std::uint64_t samples = 0;
    };

    void add_hypotheses(bool all_routes, std::string const& route);
    static bool suffices(hypothesis const& it);

    /// The first one is that of a good version.
    std::vector<hypothesis> hypotheses_;
    std::map<std::string, target_track> targets_;
    std::map<std::string, std::uint64_t> routes_;
    std::uint64_t samples_ = 0;
    std::uint64_t bad_answers_ = 0;
};

} // namespace pomelohinge

#endif
