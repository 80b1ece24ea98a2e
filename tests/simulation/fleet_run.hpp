#ifndef POMELOHINGE_TESTS_SIMULATION_FLEET_RUN_HPP
#define POMELOHINGE_TESTS_SIMULATION_FLEET_RUN_HPP

#include "tests/simulation/fake_vm.hpp"

namespace pomelohinge::simulation {

/// The kinds of faults that a run injects. They are drawn by number, so a
/// changed order changes the runs of all seeds.
enum class fault {
    kill_vm,
    kill_many_vms,
    pause_vm,
    /// A VM drains, stops and starts again.
    stop_vm,
    /// Messages from a VM to the store are dropped.
    cut_vm_from_store,
    /// Messages from one VM to another are dropped.
    cut_vms,
    lose_messages,
    /// The store is unavailable for some VMs.
    store_turns_some_away,
    /// The store answers no calls.
    store_silent,
    store_slow,
    /// Watches of the store report no changes and then lose their history.
    store_deaf,
    target_fails,
    target_hangs,
    /// A target neither executes nor answers requests.
    target_dark,
    /// All healthy targets shed half of the requests.
    service_sheds,
    /// A target stops and later starts again without its state.
    target_restarts,
    /// A target drains and is replaced by a new one.
    target_leaves,
    /// A new target takes the address of a removed one.
    address_is_reused,
    /// Operators close a data centre.
    data_centre_out,
    /// Operators revoke the key of an organisation.
    key_withdrawn,
    configuration_changes,
};

} // namespace pomelohinge::simulation

namespace pomelohinge {

template <>
inline constexpr auto
    name_table<simulation::fault> = make_name_table<simulation::fault>({
        {simulation::fault::kill_vm, "kill_vm"},
        {simulation::fault::kill_many_vms, "kill_many_vms"},
        {simulation::fault::pause_vm, "pause_vm"},
        {simulation::fault::stop_vm, "stop_vm"},
        {simulation::fault::cut_vm_from_store, "cut_vm_from_store"},
        {simulation::fault::cut_vms, "cut_vms"},
        {simulation::fault::lose_messages, "lose_messages"},
        {simulation::fault::store_turns_some_away, "store_turns_some_away"},
        {simulation::fault::store_silent, "store_silent"},
        {simulation::fault::store_slow, "store_slow"},
        {simulation::fault::store_deaf, "store_deaf"},
        {simulation::fault::target_fails, "target_fails"},
        {simulation::fault::target_hangs, "target_hangs"},
        {simulation::fault::target_dark, "target_dark"},
        {simulation::fault::service_sheds, "service_sheds"},
        {simulation::fault::target_restarts, "target_restarts"},
        {simulation::fault::target_leaves, "target_leaves"},
        {simulation::fault::address_is_reused, "address_is_reused"},
        {simulation::fault::data_centre_out, "data_centre_out"},
        {simulation::fault::key_withdrawn, "key_withdrawn"},
        {simulation::fault::configuration_changes, "configuration_changes"},
    });
static_assert(is_ordered<simulation::fault>());

} // namespace pomelohinge

namespace pomelohinge::simulation {

/// Counts of requests and of their outcomes at the callers.
struct request_counts
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    /// Requests of callers without an entry or to a VM that is not running.
    std::uint64_t not_reached = 0;
    /// By kind and detail of the refusal.
    std::map<std::string, std::uint64_t> refusals;
};

/// A whole fleet with callers, targets and a store in virtual time. A run is
/// determined by its seed.
class fleet_run
{
public:
    /// `remote_budget` is that of each hub for reports to other data centres,
    /// in bytes per second; 0 for none.
    explicit fleet_run(std::uint64_t seed, double remote_budget = 0,
        std::optional<transfer_settings> const& transfers = std::nullopt);
    ~fleet_run();

    /// Runs for `span` with traffic and `fault_count` random faults, then
    /// reopens data centres, restores keys and lets the fleet recover for 20 s
    /// with and 2 s without traffic.
    void run(duration span, std::size_t fault_count);

    /// Runs for `span` with traffic and without faults, then for 2 s without
    /// new requests.
    void drive(duration span);

    void kill(std::string const& vm);
    void start_vm(std::string const& vm);
    std::vector<std::string> vm_names() const;

    invariant_checker const& checker() const { return checker_; }
    request_counts const& counts() const { return counts_; }
    std::uint64_t store_calls() const { return store_.calls(); }

    /// Describes the injected faults, the state of the running VMs and the
    /// refusals, for the output of a failed test.
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
    fake_target& active_target(std::string const& name)
    {
        return *active_targets_.at(name);
    }
    std::string draw_target();
    std::string draw_vm();

    void send_requests();
    void send_request(caller& sender);
    void renew_entries(caller& sender);
    void deliver_request(incoming_request message, std::string const& address,
        std::string const& from);
    /// May send a request that was refused as not run again to the same VM,
    /// with its id.
    void repeat(incoming_request message, std::string const& address,
        std::string const& from);
    void on_request_ended(std::string const& id, entry_result const& result);

    void inject(fault kind);
    void schedule(duration delay, std::function<void()> run)
    {
        simulator_.schedule_after(delay, std::move(run));
    }
    /// Reports to the checker that a fault affects the VM for `span`.
    void mark_affected(std::string const& vm, duration span);
    void mark_all_affected(duration span);
    void restart_after(std::string const& vm, duration downtime);
    void stop_gracefully(std::string const& vm);
    void replace_target(std::string const& name, bool reuses_address);
    void revoke_key();

    chart_list charts_;
    event_simulator simulator_;
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    /// Includes removed targets, which pending events refer to.
    std::vector<std::unique_ptr<fake_target>> all_targets_;
    /// Targets in service, by name.
    std::map<std::string, fake_target*> active_targets_;
    std::vector<caller> callers_;
    request_counts counts_;
    struct injected_fault
    {
        fault kind;
        time_point at;
    };
    std::vector<injected_fault> injected_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_target_ = 0;
    std::uint64_t last_address_ = 0;
    /// Organisations whose key is revoked.
    std::set<std::string> revoked_keys_;
    /// The `attempts` of all routes.
    std::int64_t attempts_ = 2;
    bool sending_ = false;
};

} // namespace pomelohinge::simulation

#endif
