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
enum class caller_end {
    answered,
    /// An answer of an upstream with status 500 or more.
    upstream_error,
    refused_not_run,
    refused_unknown,
    /// The connection ended or stayed silent without a whole answer.
    cut,
    /// The answer belongs to another request or has a wrong length.
    wrong,
    /// No entry VM could be reached.
    not_reached,
};

} // namespace pomelohinge::stand_ins

namespace pomelohinge {

template <>
inline constexpr auto
    name_table<stand_ins::caller_end> = make_name_table<stand_ins::caller_end>({
        {stand_ins::caller_end::answered, "answered"},
        {stand_ins::caller_end::upstream_error, "upstream_error"},
        {stand_ins::caller_end::refused_not_run, "refused_not_run"},
        {stand_ins::caller_end::refused_unknown, "refused_unknown"},
        {stand_ins::caller_end::cut, "cut"},
        {stand_ins::caller_end::wrong, "wrong"},
        {stand_ins::caller_end::not_reached, "not_reached"},
    });
static_assert(is_ordered<stand_ins::caller_end>());

} // namespace pomelohinge

namespace pomelohinge::stand_ins {

/// One finished request.
struct caller_sample
{
    caller_end end = caller_end::answered;
    /// Kind of a refusal, from its problem type.
    std::string refusal;
    /// From the intended start, in milliseconds.
    double total_ms = 0;
    /// `total_ms` less the time at the upstream.
    double added_ms = 0;
    /// Second of the run.
    std::size_t second = 0;
};

/// Collects samples of one run.
class caller_report
{
public:
    void add(std::string const& organisation, caller_sample const& sample);

    /// Payments by id: how they ended for their caller.
    void add_payment(std::string const& id, caller_end end)
    {
        payments_[id] = end;
    }

    /// Compares with what upstreams ran: id and number of runs.
    void compare(std::map<std::string, std::uint64_t> const& runs);

    /// Whether nothing was seen that must never be.
    bool is_clean() const;

    nlohmann::ordered_json to_json() const;

    /// Requests that ended in the last full second, for progress.
    std::string progress(std::size_t second) const;

private:
    struct tally
    {
        std::array<std::uint64_t, enum_count<caller_end>> ends{};
        std::map<std::string, std::uint64_t> refusals;
        std::vector<double> total_ms;
        std::vector<double> added_ms;

        void add(caller_sample const& sample);
        std::uint64_t requests() const;
        double success() const;
        nlohmann::ordered_json to_json() const;
    };

    tally all_;
    std::map<std::string, tally> organisations_;
    std::map<std::size_t, tally> seconds_;
    std::map<std::string, caller_end> payments_;
    std::uint64_t doubled_ = 0;
    std::uint64_t untrue_ = 0;
    std::uint64_t runs_ = 0;
};

} // namespace pomelohinge::stand_ins

#endif
