#ifndef POMELOHINGE_MAIN_EXPLAIN_REQUEST_STORY_HPP
#define POMELOHINGE_MAIN_EXPLAIN_REQUEST_STORY_HPP

#include "main/explain/log_record.hpp"

namespace pomelohinge {

/// What the logs of several VMs tell of one request.
struct request_story
{
    std::string request;
    /// Its own lines, by time.
    std::vector<log_record> lines;
    /// What its entry VM believed when it came: the last line of each kind
    /// before its first, and the last change of each target it was sent to.
    std::vector<log_record> beliefs;
    /// Why it ended as it did, in a sentence.
    std::string cause;
};

/// Puts together the lines of `request`. Without any, `lines` is empty and
/// `cause` says so.
request_story tell_story(
    std::string const& request, std::vector<log_record> records);

/// The story for people, a line each.
std::string to_text(request_story const& story);

nlohmann::json to_json(request_story const& story);

} // namespace pomelohinge

#endif
