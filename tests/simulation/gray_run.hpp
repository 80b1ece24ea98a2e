#ifndef POMELOHINGE_TESTS_SIMULATION_GRAY_RUN_HPP
#define POMELOHINGE_TESTS_SIMULATION_GRAY_RUN_HPP

#include "tests/simulation/fake_vm.hpp"

namespace pomelohinge::simulation {

/// A fleet before targets that fail in spells while they seem healthy.
struct gray_shape
{
    std::size_t vms = 12;
    std::size_t targets = 24;
    /// Requests per second and target.
    double rate = 4;
    /// In each period of this length a target fails with this probability.
    duration spell = std::chrono::seconds(9);
    double failing_share = 0.3;
    /// Share of requests that may be repeated.
    double idempotent_share = 0;
};

/// The requests of a run that reached a target, by whether they may be
/// repeated and whether the first attempt was answered.
struct gray_result
{
    std::uint64_t requests = 0;
    std::uint64_t orders = 0;
    /// Orders that ended without a successful answer.
    std::uint64_t lost_orders = 0;
    /// Of these, the ones that were refused without an attempt.
    std::uint64_t refused_orders = 0;
    std::uint64_t lookups = 0;
    std::uint64_t lost_lookups = 0;

    /// Mean share of the targets that have been healthy for two seconds that
    /// got a request within the last two.
    double mean_use = 0;

    double loss() const
    {
        return orders == 0
            ? 0
            : static_cast<double>(lost_orders) / static_cast<double>(orders);
    }
};

/// Runs the decisions of a whole fleet in virtual time against such targets.
class gray_run
{
public:
    /// Share of requests that a target fails while it is healthy.
    static constexpr double error_probability = 0.012;

    gray_run(std::uint64_t seed, gray_shape shape);
    ~gray_run();

    /// Sends requests for `warm_up`, which do not count, and for `span`.
    gray_result run(duration warm_up, duration span);

private:
    struct caller
    {
        std::string data_centre;
        std::vector<std::string> entries;
        time_point entries_until;
    };

    void configure();
    void add_target(std::string const& data_centre);
    void add_vm(std::string const& data_centre);
    void change_mode(std::size_t position);
    void renew_entries(caller& sender);
    void send_requests();
    void send_request(caller& sender);
    void count(bool idempotent, entry_result const& result);
    void sample_use();

    gray_shape shape_;
    chart_list charts_;
    event_simulator simulator_;
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    std::vector<std::unique_ptr<fake_target>> targets_;
    /// When each target last became healthy; by position.
    std::vector<time_point> healthy_since_;
    std::uint64_t use_samples_ = 0;
    double use_sum_ = 0;
    std::vector<caller> callers_;
    gray_result result_;
    bool counting_ = false;
    bool sending_ = false;
    std::uint64_t last_request_ = 0;
};

} // namespace pomelohinge::simulation

#endif
