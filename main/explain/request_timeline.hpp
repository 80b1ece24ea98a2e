#ifndef POMELOHINGE_MAIN_EXPLAIN_REQUEST_TIMELINE_HPP
#define POMELOHINGE_MAIN_EXPLAIN_REQUEST_TIMELINE_HPP

#include "main/explain/log_record.hpp"

namespace pomelohinge {

/// The log lines of one request, collected from the logs of several VMs.
struct request_timeline
{
    std::string request;
    /// The lines of the request, ordered by time.
    std::vector<log_record> lines;
    /// The state of its entry VM when the request arrived: the last line of
    /// each state event before the first line of the request, and the last
    /// state change of each target that it was sent to.
    std::vector<log_record> entry_vm_state;
    /// Why the request ended as it did, in one sentence.
    std::string cause;
};

/// Builds the timeline of `request` from `records`, which can be in any order.
/// If no line belongs to it, `lines` is empty and `cause` states this.
request_timeline build_timeline(
    std::string const& request, std::vector<log_record> records);

/// Formats the timeline for people, one event per line.
std::string to_text(request_timeline const& timeline);

/// Formats the timeline as JSON.
nlohmann::json to_json(request_timeline const& timeline);

} // namespace pomelohinge

#endif
