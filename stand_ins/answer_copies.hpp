#ifndef POMELOHINGE_STAND_INS_ANSWER_COPIES_HPP
#define POMELOHINGE_STAND_INS_ANSWER_COPIES_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelohinge::stand_ins {

/// An answer of an upstream to one request.
struct upstream_answer
{
    int status = 200;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// The answer in HTTP/1.1, on a connection that stays open.
    std::string to_text() const
    {
        auto text = "HTTP/1.1 " + std::to_string(status) +
            " Status\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n";
        for (auto const& [name, value] : headers)
            text += name + ": " + value + "\r\n";
        return text + "\r\n" + body;
    }
};

/// The answers that are sent once more, each on the connection of its request.
class answer_copies
{
public:
    /// Replaces the answer that the connection has due.
    void add(std::uint64_t connection, upstream_answer answer)
    {
        due_.insert_or_assign(connection, std::move(answer));
    }

    /// Removes and returns the answer that the connection has due.
    std::optional<upstream_answer> take(std::uint64_t connection)
    {
        auto const node = due_.extract(connection);
        if (node.empty())
            return std::nullopt;
        return std::move(node.mapped());
    }

    void clear() { due_.clear(); }

private:
    std::map<std::uint64_t, upstream_answer> due_;
};

} // namespace pomelohinge::stand_ins

#endif
