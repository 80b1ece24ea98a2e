#ifndef POMELOHINGE_DRIVERS_FRONT_FRONT_DIALECT_HPP
#define POMELOHINGE_DRIVERS_FRONT_FRONT_DIALECT_HPP

#include "servers/entries/entry_answer.hpp"
#include "servers/requests/entry_environment.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pomelohinge {

/// The HTTP response that carries a refusal.
struct refusal_response
{
    int status = 503;
    std::vector<header_field> headers;
    std::string body;
};

/// The parsed request line and headers, or the refusal of a malformed head.
using parsed_head = std::variant<incoming_request, refusal>;

/// The HTTP interface that callers use: the meaning of headers, and how
/// refusals and entry answers are encoded. An entry question is a caller's
/// request for the addresses of the entry VMs; an entry answer is the response
/// to it.
template <class Dialect>
concept FrontDialect = requires(std::string const& method,
    std::string const& target, std::vector<header_field> const& headers,
    refusal const& refused, entry_answer const& answer, std::string_view name)
{
    /// Parses the head of a request. The body of the result is empty.
    {
        Dialect::parse(method, target, headers)
        } -> std::same_as<parsed_head>;
    /// Encodes a refusal. The request id is empty if none was parsed.
    {
        Dialect::encode_refusal(refused, std::string())
        } -> std::same_as<refusal_response>;
    /// Whether a header of an upstream's answer is forwarded to the caller.
    {
        Dialect::forwards_header(name)
        } -> std::same_as<bool>;
    /// Headers that the fleet adds to an answer with this request id.
    {
        Dialect::answer_headers(std::string())
        } -> std::same_as<std::vector<header_field>>;
    /// The data centre that an entry question names; an empty id, which stands
    /// for the VM's own data centre, if it names none. `nullopt` if the request
    /// target is not that of an entry question.
    {
        Dialect::entry_question(target)
        } -> std::same_as<std::optional<data_centre_id>>;
    /// The body of the answer to an entry question.
    {
        Dialect::encode_entry_answer(answer)
        } -> std::same_as<std::string>;
    /// Whether entry questions are answered at the callers' address; if not,
    /// a separate address serves them.
    {
        Dialect::entries_at_front
        } -> std::convertible_to<bool>;
};

} // namespace pomelohinge

#endif
