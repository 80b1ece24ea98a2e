#ifndef POMELOHINGE_TESTS_SIMULATION_FLEET_RUN_HPP
#define POMELOHINGE_TESTS_SIMULATION_FLEET_RUN_HPP

#include "tests/simulation/fake_vm.hpp"

namespace pomelohinge::simulation {

/// What troubles a run draws from.
enum class trouble {
    kill_vm,
    kill_many_vms,
    pause_vm,
    stop_vm,
    cut_vm_from_store,
    cut_vms,
    lose_messages,
    store_turns_some_away,
    store_silent,
    store_slow,
    store_deaf,
    target_fails,
    target_hangs,
    target_dark,
    service_sheds,
    target_restarts,
    target_leaves,
    address_is_reused,
    data_centre_out,
    key_withdrawn,
    configuration_changes,
};

} // namespace pomelohinge::simulation

namespace pomelohinge {

template <>
inline constexpr auto
    name_table<simulation::trouble> = make_name_table<simulation::trouble>({
        {simulation::trouble::kill_vm, "kill_vm"},
        {simulation::trouble::kill_many_vms, "kill_many_vms"},
        {simulation::trouble::pause_vm, "pause_vm"},
        {simulation::trouble::stop_vm, "stop_vm"},
        {simulation::trouble::cut_vm_from_store, "cut_vm_from_store"},
        {simulation::trouble::cut_vms, "cut_vms"},
        {simulation::trouble::lose_messages, "lose_messages"},
        {simulation::trouble::store_turns_some_away, "store_turns_some_away"},
        {simulation::trouble::store_silent, "store_silent"},
        {simulation::trouble::store_slow, "store_slow"},
        {simulation::trouble::store_deaf, "store_deaf"},
        {simulation::trouble::target_fails, "target_fails"},
        {simulation::trouble::target_hangs, "target_hangs"},
        {simulation::trouble::target_dark, "target_dark"},
        {simulation::trouble::service_sheds, "service_sheds"},
        {simulation::trouble::target_restarts, "target_restarts"},
        {simulation::trouble::target_leaves, "target_leaves"},
        {simulation::trouble::address_is_reused, "address_is_reused"},
        {simulation::trouble::data_centre_out, "data_centre_out"},
        {simulation::trouble::key_withdrawn, "key_withdrawn"},
        {simulation::trouble::configuration_changes, "configuration_changes"},
    });
static_assert(is_ordered<simulation::trouble>());

} // namespace pomelohinge

namespace pomelohinge::simulation {

/// Counts of what callers got.
struct run_tally
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_reached = 0;
    std::map<std::string, std::uint64_t> refusals;
};

/// A whole fleet with callers, targets and a store in virtual time. The seed
/// decides everything.
class fleet_run
{
public:
    explicit fleet_run(std::uint64_t seed);
    ~fleet_run();

    /// Runs with traffic and troubles, then mends everything and lets the
    /// fleet settle.
    void run(duration span, std::size_t troubles);

    /// Runs with traffic and without troubles.
    void drive(duration span);

    void kill(std::string const& vm);
    void start_vm(std::string const& vm);
    std::vector<std::string> vm_names() const;

    referee const& judge() const { return judge_; }
    run_tally const& tally() const { return tally_; }
    std::uint64_t store_calls() const { return store_.calls(); }

    /// What living VMs believe, for a failed test.
    std::string describe();

private:
    struct caller
    {
        std::string data_centre;
        std::vector<std::string> entries;
        time_point entries_until;
    };

    void configure();
    void apply_configuration();
    void add_target(
        std::string const& name, std::string const& data_centre, bool cold);
    fake_upstream& upstream(std::string const& name)
    {
        return *by_name_.at(name);
    }
    std::string draw_target();
    std::string draw_vm();

    void send_requests();
    void send_request(caller& who);
    void renew_entries(caller& who);
    void deliver(incoming_request message, std::string const& address,
        std::string const& from);
    void ended(std::string const& id, entry_result const& result);

    void begin(trouble what);
    void later(duration wait, std::function<void()> run)
    {
        world_.after(wait, std::move(run));
    }
    void disturb(std::string const& vm, duration span);
    void disturb_all(duration span);
    void restart_later(std::string const& vm, duration down);
    void stop_as_planned(std::string const& vm);
    void replace(std::string const& name, bool reuse);
    void withdraw_key();

    chart_list rules_;
    virtual_world world_;
    fake_store store_;
    referee judge_;
    fleet_context context_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;
    std::map<std::string, fake_upstream*> by_name_;
    std::vector<caller> callers_;
    run_tally tally_;
    struct played_trouble
    {
        trouble what;
        time_point at;
    };
    std::vector<played_trouble> played_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_target_ = 0;
    std::uint64_t last_address_ = 0;
    std::set<std::string> withdrawn_;
    std::int64_t attempts_ = 2;
    bool sending_ = false;
};

} // namespace pomelohinge::simulation

#endif
