#ifndef POMELOHINGE_SERVERS_DISPATCH_DISPATCHER_HPP
#define POMELOHINGE_SERVERS_DISPATCH_DISPATCHER_HPP

#include "core/text_map.hpp"
#include "servers/dispatch/traffic_target.hpp"
#include "servers/dispatch/waiting_line.hpp"
#include "servers/limits/organisation_limits.hpp"
#include "servers/requests/attempt.hpp"
#include "servers/requests/policy.hpp"
#include "servers/selection/picker.hpp"
#include "servers/selection/service_latency.hpp"

#include <functional>
#include <map>
#include <memory>
#include <variant>

namespace pomelohinge {

/// Why no target is given to a request.
enum class placement_refusal {
    /// No target of the service may get it.
    no_target,
    /// All targets are at their limit, for longer than the request can wait.
    overloaded,
};

template <>
inline constexpr auto
    name_table<placement_refusal> = make_name_table<placement_refusal>({
        {placement_refusal::no_target, "no_target"},
        {placement_refusal::overloaded, "overloaded"},
    });
static_assert(is_ordered<placement_refusal>());

/// A request that wants a target.
struct placement_question
{
    service_id service;
    std::int64_t priority = 0;
    /// A failure can be made good by another attempt, so the request may
    /// find out whether a suspect is well.
    bool repeatable = false;
    /// Targets that it was sent to.
    std::vector<target_id> tried;
    /// A start later than this is of no use.
    time_point start_by{};
};

/// Why a target was chosen, for the log.
struct placement_reason
{
    target_state state = target_state::trusted;
    std::int64_t in_flight = 0;
    std::int64_t in_flight_elsewhere = 0;
    std::size_t candidates = 0;
    bool near = false;
};

/// The target that a request is to be sent to.
struct placement
{
    target_record target;
    placement_reason reason;
};

struct placement_denial
{
    placement_refusal why = placement_refusal::no_target;
    /// When a target may be free.
    duration retry_after{};
};

using placement_decision = std::variant<placement, placement_denial>;

/// Places the requests of one traffic thread on targets: which target, who
/// waits, who goes first, and who is refused at once because no target will
/// be free in time. It answers the load of one service at a time: bursts,
/// lost data centres and targets that shed.
class dispatcher
{
public:
    using decision_callback = std::function<void(placement_decision)>;
    /// Tells how many idle connections to an address are open.
    using connected_check = std::function<bool(std::string const& address)>;

    dispatcher(chart<target_chart> const& rules, vm_id self,
        data_centre_id data_centre, std::uint64_t seed,
        connected_check connected);

    /// Follows the targets of a new snapshot.
    void adopt(policy_pointer const& next, time_point now);

    /// What other VMs report.
    void apply_report(traffic_report const& others, time_point now);

    /// Asks for a target: a decision at once, or the ticket of a request
    /// that waits, whose decision comes by `later`.
    std::variant<placement_decision, ticket> submit(
        placement_question question, decision_callback later, time_point now);

    /// The request does not want a target any more.
    void withdraw(ticket id);

    /// An attempt at a placed target ended.
    void ended(target_record const& target, attempt_result result,
        duration latency, time_point now);

    /// An attempt is late: several at once speak against the target.
    void late(target_record const& target, time_point now);

    /// An attempt that was late has ended.
    void late_ended(target_record const& target);

    /// An attempt has been unanswered for so long that it alone speaks
    /// against the target.
    void overdue(target_record const& target, time_point now);

    void tick(time_point now);

    /// A request for the service has ended, with the upstream's success or
    /// without.
    void note_end(service_id const& service, bool served);

    /// Whether a target has turned bad since this was last asked, which the
    /// others should hear of at once.
    bool take_report_due() { return std::exchange(report_due_, false); }

    /// What this thread has seen of targets since it was last asked.
    text_map<target_report> take_reports();

    /// Typical time of an answer; zero until enough were seen.
    duration typical_latency(service_id const& service) const
    {
        return latencies_.baseline(service).median;
    }

    std::size_t waiting() const { return questions_.size(); }

    /// Share of the targets of a service that are used at least, however
    /// many are suspected.
    void set_floor(double share) { floor_ = share; }

    traffic_target const* find(target_id const& id) const;

private:
    struct service_state
    {
        std::vector<traffic_target*> targets;
        waiting_line line;
        rate_meter ends;
        /// So few targets are used that ejected ones are used, too, where
        /// the others have no room.
        bool floor_reached = false;
        /// Share of requests that were not served lately.
        double unserved = 0;
        /// Recent priorities; the least urgent one tries what others avoid.
        std::map<std::int64_t, time_point> priorities;
    };

    struct waiting_question
    {
        placement_question question;
        decision_callback later;
    };

    service_state& state_of(service_id const& service)
    {
        return services_[service.text()];
    }
    traffic_target* current(target_record const& target);
    void rebuild_services();
    void set_cold_rates(time_point now);
    void note(traffic_target& target, target_event event, time_point now);
    void check_floor(service_state& service);

    traffic_target* choose(service_state& service,
        placement_question const& question, time_point now);
    traffic_target* choose_untried(service_state& service,
        placement_question const& question, time_point now);
    traffic_target* choose_for_floor(service_state& service,
        placement_question const& question, time_point now);
    double usual_failures(service_id const& service) const
    {
        return latencies_.baseline(service).failures;
    }
    bool is_most_urgent(
        service_state& service, std::int64_t priority, time_point now);
    traffic_target* choose_suspect(service_state& service,
        placement_question const& question, time_point now);
    traffic_target* choose_up_to(target_state worst, service_state& service,
        placement_question const& question, time_point now);
    bool has_any(
        service_state const& service, placement_question const& question) const;
    placement place(traffic_target& target, service_state& service,
        placement_question const& question, time_point now);
    duration expected_wait(service_state const& service, service_id const& name,
        std::size_t ahead, time_point now) const;

    void pump(service_id const& service, time_point now);
    void refuse_late(service_state& service, time_point now);

    chart<target_chart> const& rules_;
    vm_id self_;
    data_centre_id data_centre_;
    connected_check connected_;
    std::mt19937_64 random_;
    doubt_and_load_picker picker_;
    double floor_ = 0;
    bool report_due_ = false;
    policy_pointer policy_;
    std::size_t near_entries_ = 1;
    std::map<target_id, std::unique_ptr<traffic_target>> targets_;
    text_map<service_state> services_;
    service_latencies latencies_;
    std::map<ticket, waiting_question> questions_;
    ticket last_ticket_ = 0;
    std::vector<candidate> candidates_;
    std::vector<traffic_target*> eligible_;
};

} // namespace pomelohinge

#endif
