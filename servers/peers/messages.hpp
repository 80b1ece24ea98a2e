#ifndef POMELOHINGE_SERVERS_PEERS_MESSAGES_HPP
#define POMELOHINGE_SERVERS_PEERS_MESSAGES_HPP

#include "config/configuration_text.hpp"
#include "core/clock.hpp"
#include "servers/floors/floor_keeper.hpp"
#include "servers/health/evidence.hpp"
#include "servers/idempotency/record_table.hpp"
#include "servers/limits/organisation_shares.hpp"
#include "servers/membership/evidence_summary.hpp"
#include "servers/membership/view.hpp"
#include "servers/ownership/ownership.hpp"
#include "servers/poison/poison_guard.hpp"
#include "servers/requests/refusal.hpp"
#include "servers/requests/request.hpp"
#include "servers/selection/service_latency.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What VMs say to each other, free of its encoding.
namespace pomelohinge {

/// Asks a share owner for one token.
struct charge_question
{
    organisation_id organisation;
    fingerprint print = 0;
    /// The request was in flight at a crash, which counts before the
    /// decision, and asks to be tried again.
    bool after_crash = false;
};

/// Why a charge is not granted, apart from the token.
enum class charge_outcome {
    granted,
    /// Granted; the request is on trial and its end must be told.
    granted_on_trial,
    exhausted,
    /// The asked VM does not own the share or may not act.
    not_owner,
    /// The request is suspected of crashing upstreams.
    held_back,
    /// The request is suspected; only the first owner may grant it.
    ask_first_owner,
    /// No answer came.
    unreachable,
};

template <>
inline constexpr auto
    name_table<charge_outcome> = make_name_table<charge_outcome>({
        {charge_outcome::granted, "granted"},
        {charge_outcome::granted_on_trial, "granted_on_trial"},
        {charge_outcome::exhausted, "exhausted"},
        {charge_outcome::not_owner, "not_owner"},
        {charge_outcome::held_back, "held_back"},
        {charge_outcome::ask_first_owner, "ask_first_owner"},
        {charge_outcome::unreachable, "unreachable"},
    });
static_assert(is_ordered<charge_outcome>());

struct charge_reply
{
    charge_outcome result = charge_outcome::unreachable;
    duration retry_after{};
};

/// What is told of a request that was in flight at a crash or on trial.
enum class poison_report { crashed, survived, trial_unused };

template <>
inline constexpr auto
    name_table<poison_report> = make_name_table<poison_report>({
        {poison_report::crashed, "crashed"},
        {poison_report::survived, "survived"},
        {poison_report::trial_unused, "trial_unused"},
    });
static_assert(is_ordered<poison_report>());

struct poison_notice
{
    organisation_id organisation;
    fingerprint print = 0;
    poison_report report = poison_report::crashed;
};

/// A step of an idempotency record.
enum class record_step {
    begin,
    finish,
    lose,
    withdraw,
    /// A copy for another keeper.
    copy,
    withdraw_copy,
    /// A new owner asks what others keep.
    fetch,
};

template <>
inline constexpr auto name_table<record_step> = make_name_table<record_step>({
    {record_step::begin, "begin"},
    {record_step::finish, "finish"},
    {record_step::lose, "lose"},
    {record_step::withdraw, "withdraw"},
    {record_step::copy, "copy"},
    {record_step::withdraw_copy, "withdraw_copy"},
    {record_step::fetch, "fetch"},
});
static_assert(is_ordered<record_step>());

struct record_question
{
    record_step step = record_step::begin;
    idempotency_record record;
};

/// What became of a record's step.
enum class record_outcome {
    accepted,
    running,
    done,
    unknown,
    differs,
    full,
    /// Neither owner nor backup could be relied upon; nothing was begun.
    not_ready,
    unreachable,
};

template <>
inline constexpr auto
    name_table<record_outcome> = make_name_table<record_outcome>({
        {record_outcome::accepted, "accepted"},
        {record_outcome::running, "running"},
        {record_outcome::done, "done"},
        {record_outcome::unknown, "unknown"},
        {record_outcome::differs, "differs"},
        {record_outcome::full, "full"},
        {record_outcome::not_ready, "not_ready"},
        {record_outcome::unreachable, "unreachable"},
    });
static_assert(is_ordered<record_outcome>());

struct record_reply
{
    record_outcome result = record_outcome::unreachable;
    recorded_answer answer;
    /// With `fetch`: all records of the organisation.
    std::vector<idempotency_record> records;
};

/// A request on its way from the entry VM to the target's owner.
struct dispatch_order
{
    target_id target;
    service_id service;
    organisation_id organisation;
    /// The key that the request came with, so that it is checked again when
    /// the request leaves the queue.
    std::optional<key_hash> key;
    http_method method = http_method::get;
    std::string path;
    std::vector<header_field> headers;
    std::string body;
    std::string request_id;
    /// Time left.
    duration remaining{};
    bool idempotent = false;
    bool echoes_request_id = true;
    service_baseline baseline;
};

/// A whole answer of an upstream.
struct upstream_answer
{
    int status = 0;
    std::vector<header_field> headers;
    std::string body;
};

/// How a dispatch ended.
enum class dispatch_outcome {
    answered,
    /// The target takes no work, is full, or its queue took too long.
    not_taken,
    /// The asked VM does not own the target or may not act.
    not_owner,
    /// The key was withdrawn while the request waited.
    key_withdrawn,
    /// The attempt failed; `attempt` tells how.
    attempt_failed,
    /// The owner was not reached; nothing was sent.
    unreachable,
    /// The connection to the owner was lost with the request under way.
    lost,
};

template <>
inline constexpr auto
    name_table<dispatch_outcome> = make_name_table<dispatch_outcome>({
        {dispatch_outcome::answered, "answered"},
        {dispatch_outcome::not_taken, "not_taken"},
        {dispatch_outcome::not_owner, "not_owner"},
        {dispatch_outcome::key_withdrawn, "key_withdrawn"},
        {dispatch_outcome::attempt_failed, "attempt_failed"},
        {dispatch_outcome::unreachable, "unreachable"},
        {dispatch_outcome::lost, "lost"},
    });
static_assert(is_ordered<dispatch_outcome>());

struct dispatch_answer
{
    dispatch_outcome result = dispatch_outcome::unreachable;
    attempt_result attempt = attempt_result::answered;
    upstream_answer answer;
    /// Work per slot of the target.
    double load = 0;
    /// From the slot to the end of the answer.
    duration service_time{};
    /// From the arrival at the owner to the slot.
    duration queue_time{};
};

/// Whether the dispatch shows that no upstream has run the request.
inline bool proves_not_run(dispatch_answer const& answer)
{
    switch (answer.result) {
    case dispatch_outcome::not_taken:
    case dispatch_outcome::not_owner:
    case dispatch_outcome::key_withdrawn:
    case dispatch_outcome::unreachable:
        return true;
    case dispatch_outcome::attempt_failed:
        return proves_not_run(answer.attempt);
    case dispatch_outcome::answered:
    case dispatch_outcome::lost:
        return false;
    }
    return false;
}

/// Epoch of one data centre's view.
struct view_epoch
{
    data_centre_id data_centre;
    std::uint64_t epoch = 0;

    friend bool operator==(view_epoch const&, view_epoch const&) = default;
};

/// A VM's heartbeat to a watcher, which asks for what it lacks.
struct sync_question
{
    vm_record from;
    std::uint64_t configuration_version = 0;
    std::vector<view_epoch> epochs;
    std::uint64_t view_digest = 0;
    /// Age of the last read of the store; the largest duration if never.
    duration read_age = duration::max();
    /// The stamp of the last reply from the watcher that is asked; 0 if
    /// there was none.
    std::uint64_t stamp = 0;
};

/// The summary of one data centre's evidence on its way.
struct dated_summary
{
    data_centre_id data_centre;
    evidence_summary summary;
    duration age{};
};

struct sync_reply
{
    bool reached = false;
    /// Names this reply. A question that brings it back was asked after it,
    /// which bounds the question's age even if it lay in a queue.
    std::uint64_t stamp = 0;
    /// Whether the configuration is known at all.
    bool ready = false;
    std::uint64_t configuration_version = 0;
    std::vector<journal_entry> entries;
    /// The whole configuration, if entries do not reach back far enough.
    std::string whole;
    std::vector<data_centre_view> views;
    duration read_age = duration::max();
    /// What the VMs of all data centres said of themselves.
    std::vector<dated_summary> summaries;
};

/// A former owner has stopped acting for all that `to` gained from it.
struct release_notice
{
    vm_id from;
    /// Tells notices apart; one that comes twice is taken once.
    std::uint64_t id = 0;
    /// The view by which the former owner acts now.
    std::vector<view_epoch> epochs;
    released_keys what = released_keys::all_but_targets;
    std::vector<share_transfer> shares;
    std::vector<idempotency_record> records;
};

/// Capacity reports and questions to the owner of a service.
struct floor_question
{
    service_id service;
    std::vector<capacity_report> reports;
    /// Ask for the ejection of these.
    std::vector<target_id> eject;
    /// Ejections that are over.
    std::vector<target_id> returned;
};

struct floor_answer
{
    target_id target;
    floor_verdict verdict = floor_verdict::not_known;
};

struct floor_reply
{
    bool reached = false;
    std::vector<floor_answer> answers;
};

/// Asks whether a VM or an upstream can be reached from elsewhere.
struct reach_question
{
    /// Peers' address of a VM, or empty.
    std::string vm_address;
    /// Address of an upstream, or empty.
    std::string upstream_address;
};

enum class reach_verdict { reached, not_reached, not_asked };

template <>
inline constexpr auto
    name_table<reach_verdict> = make_name_table<reach_verdict>({
        {reach_verdict::reached, "reached"},
        {reach_verdict::not_reached, "not_reached"},
        {reach_verdict::not_asked, "not_asked"},
    });
static_assert(is_ordered<reach_verdict>());

} // namespace pomelohinge

#endif
