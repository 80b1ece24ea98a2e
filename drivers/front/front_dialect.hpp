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

/// A refusal as it is sent.
struct refusal_response
{
    int status = 503;
    std::vector<header_field> headers;
    std::string body;
};

/// What a request line and headers say.
using parsed_head = std::variant<entry_message, refusal>;

/// How callers speak to the fleet.
template <class Dialect>
concept FrontDialect = requires(std::string const& method,
    std::string const& target, std::vector<header_field> const& headers,
    refusal const& refused, entry_answer const& answer, std::string_view name)
{
    /// Reads the head of a request; the message has no body yet.
    {
        Dialect::parse(method, target, headers)
        } -> std::same_as<parsed_head>;
    {
        Dialect::encode_refusal(refused, std::string())
        } -> std::same_as<refusal_response>;
    /// Whether a header of an upstream's answer is passed on.
    {
        Dialect::forwards_header(name)
        } -> std::same_as<bool>;
    /// Headers that the fleet adds to an answer.
    {
        Dialect::answer_headers(std::string())
        } -> std::same_as<std::vector<header_field>>;
    /// The data centre that an entry question is about, empty for that of
    /// the VM; nothing if the target is none.
    {
        Dialect::entry_question(target)
        } -> std::same_as<std::optional<data_centre_id>>;
    {
        Dialect::encode_entry_answer(answer)
        } -> std::same_as<std::string>;
    /// Whether entry questions come to the callers' address.
    {
        Dialect::entries_at_front
        } -> std::convertible_to<bool>;
};

} // namespace pomelohinge

#endif
