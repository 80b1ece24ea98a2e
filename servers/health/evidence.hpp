#ifndef POMELOHINGE_SERVERS_HEALTH_EVIDENCE_HPP
#define POMELOHINGE_SERVERS_HEALTH_EVIDENCE_HPP

#include "core/clock.hpp"
#include "core/name_table.hpp"

#include <cstdint>

namespace pomelohinge {

/// How one attempt at a target ended.
enum class attempt_result {
    /// A whole answer, whatever status the application chose below 500.
    answered,
    /// A status of 500 or more other than a shed.
    server_error,
    /// 503 with `Pomelohinge-Outcome: not_run`.
    shed,
    /// The connection could not be opened; nothing was sent.
    connect_failed,
    /// The connection ended before the answer was whole.
    connection_lost,
    /// The answer is not the one to this request, or surplus bytes came.
    wrong_answer,
    /// The answer is larger than is passed on.
    too_large,
    /// No whole answer until the deadline.
    timed_out,
    /// The caller went away; it tells nothing of the target.
    cancelled,
};

template <>
inline constexpr auto
    name_table<attempt_result> = make_name_table<attempt_result>({
        {attempt_result::answered, "answered"},
        {attempt_result::server_error, "server_error"},
        {attempt_result::shed, "shed"},
        {attempt_result::connect_failed, "connect_failed"},
        {attempt_result::connection_lost, "connection_lost"},
        {attempt_result::wrong_answer, "wrong_answer"},
        {attempt_result::too_large, "too_large"},
        {attempt_result::timed_out, "timed_out"},
        {attempt_result::cancelled, "cancelled"},
    });
static_assert(is_ordered<attempt_result>());

/// Whether no byte of the request can have had an effect.
constexpr bool proves_not_run(attempt_result result)
{
    return result == attempt_result::shed ||
        result == attempt_result::connect_failed;
}

/// One attempt as evidence.
struct attempt_report
{
    attempt_result result = attempt_result::answered;
    /// From the slot to the end of the answer.
    duration latency{};
    /// Median latency of the service's targets as the entry VM saw them;
    /// zero if unknown.
    duration service_median{};
    /// Share of attempts at the service that went wrong, 0 to 1.
    double service_failures = 0;
};

/// Judges whether attempts at one target look like those of a failing one.
/// It is a cumulative sum of log-likelihood ratios (Page, 1954) of "half of
/// the attempts go wrong" against "one in fifty does".
class target_evidence
{
public:
    /// Adds one attempt.
    void add(attempt_report const& report);

    /// Whether the evidence suffices to condemn the target.
    bool condemns() const;

    /// Leaves little room: a target that comes back from ejection is
    /// condemned again after two failures.
    void distrust();

    /// Forgets everything.
    void clear() { score_ = 0; }

    double score() const { return score_; }

private:
    double score_ = 0;
};

/// Whether `report` counts against the target: a failure, or an answer far
/// slower than the service's median.
bool is_bad(attempt_report const& report);

/// How long an attempt may take before it counts against the target.
duration slow_limit(duration service_median);

} // namespace pomelohinge

#endif
