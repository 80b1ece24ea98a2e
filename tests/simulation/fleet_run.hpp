#ifndef POMELOHINGE_TESTS_SIMULATION_FLEET_RUN_HPP
#define POMELOHINGE_TESTS_SIMULATION_FLEET_RUN_HPP

#include "tests/simulation/fake_vm.hpp"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace pomelohinge::simulation {

/// What goes wrong in a run, drawn by its seed.
enum class fault {
    vm_dies,
    vm_pauses,
    vm_stops_as_planned,
    one_way_cut,
    store_away,
    store_loses_answers,
    upstream_crashes,
    upstream_slow,
    upstream_hangs,
    data_centre_out,
    key_withdrawn,
    messages_lost,
};

} // namespace pomelohinge::simulation

namespace pomelohinge {

template <>
inline constexpr auto
    name_table<simulation::fault> = make_name_table<simulation::fault>({
        {simulation::fault::vm_dies, "vm_dies"},
        {simulation::fault::vm_pauses, "vm_pauses"},
        {simulation::fault::vm_stops_as_planned, "vm_stops_as_planned"},
        {simulation::fault::one_way_cut, "one_way_cut"},
        {simulation::fault::store_away, "store_away"},
        {simulation::fault::store_loses_answers, "store_loses_answers"},
        {simulation::fault::upstream_crashes, "upstream_crashes"},
        {simulation::fault::upstream_slow, "upstream_slow"},
        {simulation::fault::upstream_hangs, "upstream_hangs"},
        {simulation::fault::data_centre_out, "data_centre_out"},
        {simulation::fault::key_withdrawn, "key_withdrawn"},
        {simulation::fault::messages_lost, "messages_lost"},
    });
static_assert(is_ordered<simulation::fault>());

} // namespace pomelohinge

namespace pomelohinge::simulation {

/// How requests ended for their callers.
struct run_tally
{
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_unknown = 0;
    std::uint64_t never_ended = 0;
    std::map<std::string, std::uint64_t> refusals;
};

/// One seeded run of a small fleet with faults in virtual time.
class fleet_run
{
public:
    explicit fleet_run(std::uint64_t seed);
    ~fleet_run();

    /// Starts the fleet and runs it with traffic and faults.
    void run(duration length, std::size_t faults);

    /// Starts the fleet without traffic and lets it settle.
    void settle(duration length);

    // Pieces for focused tests.

    virtual_world& world() { return world_; }
    fake_store& store() { return store_; }
    referee& judge() { return judge_; }
    fake_upstream& upstream(std::string const& name)
    {
        return *upstreams_.at(name);
    }
    /// The living VM of that name, or null.
    fake_vm* vm(std::string const& name);
    std::vector<fake_vm*> living();
    void kill(std::string const& name);
    void start_vm(std::string const& name);
    void inject(fault what);

    /// Sends one request to a VM; the result comes to the callback.
    void send(fake_vm& entry, std::string const& organisation,
        std::string const& id, http_method method,
        std::string const& repeat_key, std::string const& path,
        std::function<void(entry_result)> done);

    /// Steady traffic of all organisations for a while.
    void drive(duration length);

    /// Sends reads of one organisation at half its rate and waits for their
    /// end.
    void drive_within_rate(duration length);

    /// Checks what only the end of a run shows; see `referee::blamed`.
    void check_end();

    run_tally const& tally() const { return tally_; }

    /// One line for each VM: its phase, lease and view.
    std::string describe();

    static key_hash key_of(std::string const& organisation);

private:
    struct payment
    {
        std::string id;
        std::string organisation;
        std::string repeat_key;
        int tries = 0;
        bool done = false;
        bool told_not_run = false;
    };

    void configure();
    /// Calls `known` once the store has answered for a second, so that VMs
    /// could read what was accepted. A change that is accepted in the moment
    /// when the store goes away is known to nobody until it is back.
    void once_readable(std::function<void()> known);

    /// Makes a change, again later if the store is away, and then tells.
    void accept_surely(std::vector<configuration_change> changes,
        std::function<void()> accepted);
    void arrive(std::string const& organisation, double rate, time_point end);
    void begin_payment(std::string const& organisation);
    void send_payment(std::shared_ptr<payment> it);
    void begin_read(std::string const& organisation);
    void count(entry_result const& result);
    std::string draw_vm_name();
    fake_upstream& draw_upstream();

    chart_list rules_;
    virtual_world world_;
    fake_store store_;
    referee judge_;
    std::map<std::string, std::unique_ptr<fake_upstream>> upstreams_;
    fleet_context context_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    std::map<std::string, std::shared_ptr<payment>> payments_;
    run_tally tally_;
    std::uint64_t last_id_ = 0;
    std::uint64_t violations_before_ = 0;
};

/// The organisations of a run and their rates.
struct run_organisation
{
    char const* name;
    double requests_per_second;
    std::int64_t burst;
    /// What its callers send, as a multiple of the rate.
    double demand;
};

inline constexpr std::array<run_organisation, 3> run_organisations{{
    {"calm", 40, 40, 0.4},
    {"greedy", 10, 16, 5},
    {"payer", 20, 20, 0.5},
}};

} // namespace pomelohinge::simulation

#endif
