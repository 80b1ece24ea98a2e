#ifndef POMELOHINGE_STAND_INS_CALLER_REPORT_HPP
#define POMELOHINGE_STAND_INS_CALLER_REPORT_HPP

#include "core/name_table.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pomelohinge::stand_ins {

/// How a request ended for its caller.
enum class caller_outcome {
    /// An answer of an upstream with a status below 500 and the id of the
    /// request.
    answered,
    /// An answer of an upstream with status 500 or more.
    upstream_error,
    /// A refusal that states that the request did not run.
    refused_not_run,
    /// A refusal that leaves open whether the request ran.
    refused_unknown,
    /// The connection was lost, or the call timed out, before a complete
    /// answer had arrived.
    cut,
    /// The answer does not carry the id of its request.
    wrong,
    /// No connection to an entry VM succeeded.
    not_reached,
};

} // namespace pomelohinge::stand_ins

namespace pomelohinge {

template <>
inline constexpr auto name_table<stand_ins::caller_outcome> =
    make_name_table<stand_ins::caller_outcome>({
        {stand_ins::caller_outcome::answered, "answered"},
        {stand_ins::caller_outcome::upstream_error, "upstream_error"},
        {stand_ins::caller_outcome::refused_not_run, "refused_not_run"},
        {stand_ins::caller_outcome::refused_unknown, "refused_unknown"},
        {stand_ins::caller_outcome::cut, "cut"},
        {stand_ins::caller_outcome::wrong, "wrong"},
        {stand_ins::caller_outcome::not_reached, "not_reached"},
    });
static_assert(is_ordered<stand_ins::caller_outcome>());

} // namespace pomelohinge

namespace pomelohinge::stand_ins {

/// The result of one finished request.
struct caller_sample
{
    caller_outcome outcome = caller_outcome::answered;
    /// Problem type and outcome from the body of a refusal, separated by a
    /// space; empty if the request was not refused.
    std::string refusal;
    /// Time from the scheduled start to the end, in milliseconds.
    double total_ms = 0;
    /// `total_ms` less the service time reported by the upstream.
    double added_ms = 0;
    /// Second of the run in which the request ended, from 0.
    std::size_t second = 0;
};

/// Collects the samples of one run of the load generator.
class caller_report
{
public:
    void add(std::string const& organisation, caller_sample const& sample);

    /// Records how an attempt of a payment ended for its caller.
    void add_payment(std::string const& id, caller_outcome outcome)
    {
        auto& it = payments_[id];
        it.outcome = outcome;
        if (outcome == caller_outcome::refused_not_run)
            ++it.refused_attempts;
        else if (outcome != caller_outcome::not_reached)
            ++it.open_attempts;
    }

    /// Checks the recorded payments against `runs`, the number of times that
    /// all upstreams together ran each payment id. Counts payments that ran
    /// more than once and payments that ran although refused as `not_run`.
    void check_payments(std::map<std::string, std::uint64_t> const& runs);

    /// Whether no payment ran twice, no refusal as `not_run` was untrue and no
    /// answer was wrong.
    bool is_correct() const;

    nlohmann::ordered_json to_json() const;

    /// Returns a progress line with the outcomes of requests that ended in
    /// `second`.
    std::string progress(std::size_t second) const;

private:
    /// The attempts of a payment as its caller saw them.
    struct payment
    {
        /// Outcome of the latest attempt.
        caller_outcome outcome = caller_outcome::answered;
        std::uint64_t refused_attempts = 0;
        /// Attempts after which the payment may have run.
        std::uint64_t open_attempts = 0;

        /// Whether `runs` contradict a refusal as `not_run`.
        bool is_refusal_untrue(std::uint64_t runs) const
        {
            return refused_attempts > 0 &&
                (runs > open_attempts ||
                    (outcome == caller_outcome::refused_not_run && runs > 0));
        }
    };

    /// Counts and latencies of a set of requests.
    struct tally
    {
        std::array<std::uint64_t, enum_count<caller_outcome>> outcomes{};
        std::map<std::string, std::uint64_t> refusals;
        /// Latencies of answered requests, in milliseconds.
        std::vector<double> total_ms;
        std::vector<double> added_ms;

        void add(caller_sample const& sample);
        std::uint64_t requests() const;
        /// Share of requests that were answered, from 0 to 1; 1 if none.
        double success() const;
        nlohmann::ordered_json to_json() const;
    };

    tally all_;
    std::map<std::string, tally> organisations_;
    std::map<std::size_t, tally> seconds_;
    std::map<std::string, payment> payments_;
    std::uint64_t payments_doubled_ = 0;
    std::uint64_t not_run_untrue_ = 0;
    std::uint64_t payment_runs_ = 0;
};

} // namespace pomelohinge::stand_ins

#endif
